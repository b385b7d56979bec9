//! Validation of the settings when a balancer is created.

mod common;
use common::*;
use pumiceway_decisions::Balancer;
use pumiceway_decisions::api::*;

#[test]
fn invalid_settings_are_rejected() {
    let error_after = |change: fn(&mut Settings)| {
        let mut settings = settings(Idempotency::Idempotent);
        change(&mut settings);
        Balancer::new(settings, 1).err()
    };
    assert_eq!(
        error_after(|settings| settings.classes.clear()),
        Some(SettingsError::NoClasses)
    );
    assert_eq!(
        error_after(|settings| settings.max_attempts = 0),
        Some(SettingsError::NoAttempts)
    );
    assert!(matches!(
        error_after(|settings| settings.instance_index = 1),
        Some(SettingsError::OutOfRange {
            what: "instance",
            ..
        })
    ));
    assert!(matches!(
        error_after(|settings| settings.home_zone = Some(ZoneId(2))),
        Some(SettingsError::OutOfRange { .. })
    ));
    assert!(matches!(
        error_after(|settings| settings.classes[0].allowed_kinds = Some(vec![KindId(1)])),
        Some(SettingsError::OutOfRange { .. })
    ));
    assert_eq!(error_after(|_| ()), None);
}
