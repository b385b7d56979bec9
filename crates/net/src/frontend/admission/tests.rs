use super::*;

fn message(text: &str) -> Message {
    let mut message = Message::default();
    // In two parts, as bytes may come.
    let (a, b) = text.as_bytes().split_at(text.len() / 2);
    message.take(a);
    message.take(b);
    message
}

// Guards against a body that hides a second request: what frames it twice, or what comes behind it.
#[test]
fn what_frames_a_body_twice_and_what_comes_behind_it_is_seen() {
    let head = |lines: &str| format!("\r\nPOST /c/k HTTP/1.1\r\nHost: x\r\n{lines}\r\n");
    assert_eq!(message(&head("Content-Length: 2\r\n")).head_fault(), None);
    assert_eq!(
        message(&head("TRANSFER-encoding: chunked\r\n")).head_fault(),
        None
    );
    for lines in [
        "Content-Length: 2\r\ncontent-length: 2\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        "Content-Length: 2\nTransfer-Encoding: chunked\n",
    ] {
        assert!(message(&head(lines)).head_fault().is_some(), "{lines}");
    }
    assert!(
        message("POST /c/k#f HTTP/1.1\r\n\r\n")
            .head_fault()
            .is_some()
    );
    assert!(
        message("POST /c/\u{e9} HTTP/1.1\r\n\r\n")
            .head_fault()
            .is_some()
    );
    assert!(message("POST /c/k HTTP/1.1\r\nHost").head_fault().is_some());
    let whole = head("Content-Length: 2\r\n") + "ab";
    assert!(!message(&whole).excess(Some(2)));
    assert!(message(&(whole + "POST")).excess(Some(2)));
}

// Guards against those who hold connections and ask for nothing turning away those who do ask; and
// against a request that is held, or has just begun, losing its connection to make room.
#[test]
fn room_is_made_by_closing_what_holds_no_request() {
    let (admission, start) = (Admission::new(3, 1), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    let silent = admission.admit(at(1));
    let holding = admission.admit(at(0));
    holding.seat.holds();
    let between = admission.admit(at(0));
    between.seat.holds();
    between.seat.go(At::Idle);
    // None has been unused for long.
    let turned_away = admission.admit(at(20));
    assert_eq!(turned_away.room, Room::Busy);
    assert_eq!(admission.admit(at(30)).room, Room::None);
    drop(turned_away);
    let third = admission.admit(at(60));
    assert!(third.room == Room::Served && admission.held().seats.len() == 3);
    // One that has asked for nothing but whether this is ready goes at once.
    third.seat.go(At::Idle);
    let fourth = admission.admit(at(60));
    assert_eq!(fourth.room, Room::Served);
    fourth.seat.holds();
    drop((silent, third));
    // The one between two requests goes next, then none can.
    let last = admission.admit(Instant::now() + Duration::from_secs(5));
    last.seat.holds();
    assert_eq!(last.room, Room::Served);
    assert_eq!(
        admission
            .admit(Instant::now() + Duration::from_secs(9))
            .room,
        Room::Busy
    );
}
