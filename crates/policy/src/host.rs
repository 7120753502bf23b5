//! What is known of one host: its entry, how quick it is against its peers, what it did lately, and how far
//! it has warmed up.

use crate::api::*;
use crate::due::STEP;
use crate::fleet::Fleet;
use crate::pace::{seconds, Pace, SECOND};
use crate::room::Room;
use hedging::LossRate;
use libm::exp;

const COLD_OUT: f64 = 2.0; // attempts out at a cold host, from all gateways, before it has answered any
const MEMORY: f64 = 10.0; // seconds over which what a host did fades
const NOTHING: f64 = 1e-4; // a share of failures that is as good as none
const COLD_PART: f64 = 0.8; // of a warm host's answers, times present capacity, for a cold one

#[derive(Default)]
pub(crate) struct Host {
    pub entry: HostEntry,
    pub out: u32,
    pub near: f64, // 1: this gateway works with it; else our part against a gateway that does
    pub room: Room,
    pub is_changing: bool, // answers have come by which its room may change
    pub is_leaving: bool,  // it takes no work, and it is due that it is forgotten
    pub slow: f64,         // logarithm of its latency against the class's, smoothed
    pub slower: f64,       // by how much of the usual that is more, or less
    pub heard: Time,
    pub shut: Time,                // up to when it is feared to take no connection
    pub told: Option<(Time, f64)>, // the load it reported last
    pub cold: Option<Time>,        // when its ramp from cold began
    pub ramp: f64,                 // what a cold host can do at the least, as a share of a warm one
    pub tokens: f64,               // sends a cold host may get now, filled up to `fed`
    pub credit: f64, // more of them while the warm ones are too few: its answers bring them back
    pub fed: Time,
    pub silence: LossRate,     // the share of attempts that it does not answer
    pub did: Vec<(f64, Time)>, // from 1 (failed) to -1 (served), for each class, and as a whole last
}

/// What cold hosts may get of our sends, in a second.
#[derive(Clone, Copy)]
pub(crate) struct Feed {
    pub answers: f64, // of a warm host
    pub credit: f64,
    pub part: f64, // of the attempts out that all gateways may have there
}

impl Feed {
    /// What a warm host was seen to answer here is no more than it can do. Where too few were warm there is
    /// credit: an answer brings it back at once, for a host can do what it has done; else time does, at
    /// `COLD_OUT` in the longest aim from all gateways: a core that is cold does one, or its site serves
    /// nobody, and a host falls at three times as much.
    pub fn new(now: Time, pace: &Pace, fleet: &Fleet, s: &Settings) -> Feed {
        let warm = pace.warm + fleet.warm() as f64 * seconds(pace.warmed, now);
        let answers = pace.answers / warm.max(STEP as f64 / SECOND);
        let aim = s.classes.iter().map(|c| c.latency_objective).max().unwrap_or(0).max(STEP) as f64 / SECOND;
        let part = cold_part(s, fleet.circles());
        Feed { answers, credit: part / aim, part }
    }
}

/// Our part of the attempts that all gateways that work with a cold host may have out there on credit.
pub(crate) fn cold_part(s: &Settings, circles: f64) -> f64 {
    COLD_OUT * circles / s.gateways.max(1) as f64
}

impl Host {
    pub fn is_ready(&self) -> bool {
        self.entry.state == HostState::Ready
    }

    pub fn is_cold(&self) -> bool {
        self.cold.is_some()
    }

    /// Its room may change at the end of the period.
    pub fn may_change(&mut self, id: HostId, changing: &mut Vec<HostId>) {
        if !std::mem::replace(&mut self.is_changing, true) {
            changing.push(id);
        }
    }

    /// The share of our part of its slots that is in use.
    pub fn used(&self, gateways: u32) -> f64 {
        f64::from(self.out * gateways.max(1)) / self.room.slots
    }

    /// Cold since then. `lot` is drawn from 0 to 1: so the first sends of all gateways are spread out.
    pub fn chill(&mut self, now: Time, since: Time, lot: f64) {
        (self.cold, self.tokens, self.credit, self.fed) = (Some(since), lot, 0.0, now);
    }

    /// Credit comes back, up to our part (one at the least) less what is out.
    pub fn regain(&mut self, credit: f64, part: f64) {
        let (credit, part) = (credit * self.near, part * self.near);
        self.credit = (self.credit + credit).min((part.max(1.0) - f64::from(self.out)).max(0.0));
    }

    /// Feeds a cold host our part of what it can do now, so that all gateways together push none over.
    pub fn feed(&mut self, now: Time, feed: Feed, s: &Settings) {
        let Some(since) = self.cold else { return };
        let age = (seconds(since, now) * SECOND / s.warm_up.max(1) as f64).min(1.0);
        self.ramp = s.cold_capacity + (1.0 - s.cold_capacity) * age;
        let span = seconds(self.fed, now);
        self.tokens = (self.tokens + COLD_PART * feed.answers * self.near * self.ramp * span).min(1.0);
        self.regain(span * feed.credit, feed.part);
        self.fed = now;
    }

    pub fn is_fed(&self) -> bool {
        self.cold.is_none() || self.tokens >= 1.0
    }

    /// An attempt goes there.
    pub fn send(&mut self) {
        self.out += 1;
        self.tokens = (self.tokens - 1.0).max(0.0);
        self.credit = (self.credit - 1.0).max(0.0);
    }

    /// An attempt has ended there. `part`: ours of what may be out at a cold host.
    pub fn end(&mut self, answered: bool, part: f64) {
        self.out = self.out.saturating_sub(1);
        if answered {
            self.regain(1.0, part);
        }
    }

    /// What it did in one respect, fading with time.
    pub fn lately(&self, grain: usize, now: Time) -> f64 {
        self.did.get(grain).map_or(0.0, |(did, at)| did * exp(-seconds(*at, now) / MEMORY))
    }

    /// How far it failed in one respect, 0 to 1.
    pub fn failed(&self, grain: usize, now: Time) -> f64 {
        if self.did.get(grain).is_some_and(|(did, _)| *did > 0.0) {
            self.lately(grain, now)
        } else {
            0.0
        }
    }

    /// How far failing is to be feared in one respect, where so much is usual: less of one that has served.
    pub fn feared(&self, grain: usize, usual: f64, now: Time) -> f64 {
        if usual < NOTHING {
            return self.failed(grain, now);
        }
        let own = self.lately(grain, now);
        if own < 0.0 {
            usual * (1.0 + own)
        } else {
            own.max(usual)
        }
    }
}
