//! The script: for each class a tag, the home-zone block before what is elsewhere, ids in order, each
//! instance from its own place; and the order of one walk of it.

use super::Balancer;
use crate::api::*;
use crate::arith::{gcd, golden, mix};
use crate::state::*;
use std::borrow::Cow;

/// What a key's jobs are about is fetched by one in so many workers, and by so many at least.
const FETCHED_BY: (usize, usize) = (4, 4);
/// For this share of its aim a job waits for one of these, before it goes to any other.
const WAITS_FOR_THEM: f64 = 0.3;

impl Balancer {
    pub(super) fn rebuild_script(&mut self) {
        let listed: Vec<_> = self.m.by_id.iter().copied().filter(|&w| self.m.w(w).listed).collect();
        let mut size = vec![(0.0, 0.0); self.s.kinds];
        for w in listed.iter().map(|&w| self.m.w(w)) {
            size[w.kind.0].0 += if w.size > 0.0 { w.size } else { f64::NAN };
            size[w.kind.0].1 += self.m.kind_slots[w.kind.0].max(1.0);
        }
        let mean = size.iter().map(|s| s.0).sum::<f64>() / size.iter().map(|s| s.1).sum::<f64>();
        let classes = &self.s.classes;
        let stretch = classes.iter().map(|c| c.stretch).fold(f64::MAX, f64::min).max(1.0);
        let needed = |k| classes.iter().flat_map(|c| &c.kinds).any(|ks| ks.contains(&k));
        // Labels in a block: kinds that no narrower class depends on; kinds that one does; kinds too slow for
        // the tightest aim, as listed size and learnt slots tell.
        let label = |class: &Class, k: KindId| match size[k.0].0 / size[k.0].1 * stretch < 1.1 * mean {
            true => 2,
            false => u8::from(class.kinds.is_none() && needed(k)),
        };
        let tag = |class: &Class| {
            let mut tag = Tag::default();
            for block in 0..6u8 {
                let here = |w: &Worker| {
                    (Some(w.zone) == self.s.my_zone) == (block < 3)
                        && label(class, w.kind) == block % 3
                        && class.open_to(w.zone, w.kind)
                };
                let ids: Vec<_> = listed.iter().copied().filter(|&w| here(self.m.w(w))).collect();
                tag.script.extend(self.walk_from_own_place(&ids).map(|w| (block, w)));
                if block < 3 {
                    tag.home = tag.script.len();
                }
            }
            tag
        };
        self.tags = classes.iter().map(tag).collect();
    }

    /// Departure: instances share one id order and would all pile on the head of each label, so each starts
    /// at its own place. What leaves one full worker would then all go to the same next one: where instances
    /// share heads, each goes on in steps of its own, which meet every worker once.
    fn walk_from_own_place(&self, ids: &[WorkerId]) -> impl Iterator<Item = WorkerId> {
        let (n, mut step) = (ids.len(), 1);
        let start = n * self.s.me / self.s.instances;
        if self.s.instances > n && n > 1 {
            step = 1 + (golden(self.s.me).fract() * (n - 1) as f64) as usize;
            while gcd(step, n) > 1 {
                step -= 1;
            }
        }
        (0..n).map(move |i| ids[(start + i * step) % n])
    }

    /// The order in which a job walks its tag, at home or across; a home zone may be dark.
    ///
    /// Departure: where instances outnumber workers, not that of the list. Prevents: turns at cold workers
    /// pass unused while warm ones, on old news, are sent more than they can start; and a job crawls at home
    /// though it could cross. Few instances find both in list order.
    pub(super) fn walk(
        &self,
        now: Micros,
        r: &Request,
        cross: bool,
        dark: bool,
    ) -> Cow<'_, [(u8, WorkerId)]> {
        let tag = &self.tags[r.class.0];
        let mut walk = Cow::Borrowed(if cross { &tag.script[..] } else { &tag.script[..tag.home] });
        if tag.script.len() >= self.s.instances {
            return walk;
        }
        let (order, thin) = (walk.to_mut(), self.thin());
        let fit = |w: &Worker| w.bad_until.is_none() && (cross || !self.slow(w));
        order.retain(|&(_, id)| fit(self.m.w(id)));
        // Prevents: every worker fetches what any job is about, and all wait for the store they fetch it
        // from. All instances have one order of workers for a key, but half swap the first two of it. While
        // these are full a job waits a little: its fetch elsewhere would keep all full for longer.
        let wait = self.s.classes[r.class.0].aim as f64 * WAITS_FOR_THEM;
        let most = (order.len() / FETCHED_BY.0).max(FETCHED_BY.1);
        if let Some(key) =
            r.key.filter(|_| thin && (now as f64) < r.start as f64 + wait && most < order.len())
        {
            order.select_nth_unstable_by_key(most, |&(_, id)| mix(key ^ self.m.w(id).place));
            order.truncate(most);
        }
        order.sort_by_cached_key(|&(block, id)| {
            let w = self.m.w(id);
            let rank = match self.cold_age(now, w) {
                _ if dark && Some(w.zone) == self.s.my_zone => 3,
                Some(_) if thin => 0,
                _ => 1 + u8::from(self.slow(w)),
            };
            (rank, block, r.key.map(|key| mix(key ^ w.place)))
        });
        let turn = r.key.is_some_and(|key| mix(key ^ self.s.me as u64) & 1 == 1);
        order.get_mut(..2).filter(|f| turn && f[0].0 == f[1].0).into_iter().for_each(|f| f.reverse());
        walk
    }
}
