//! How long an idle connection to a host is trusted. Hosts, or what stands between, drop kept connections unseen, and a
//! request that is written to a dead one ends as a reset: it may have run, as far as anybody can tell, and one that may
//! not run twice is lost. So the spans that connections were found alive and dead after are evidence, of each host by
//! itself and of all together for those that have shown none.

use policy::api::{Span, Time};

const MS: Span = 1_000_000;
/// Trusted for this long at the least.
const LEAST: Span = 10 * MS;
/// A little longer after each use near the limit: where use and growth balance, one in some twenty-five such uses
/// finds a dead one.
const GROWS: f64 = 1.04;
/// Trust doubles in this span as well, whether or not it was put to the test: where requests are thin no connection is
/// used near the limit, and one that was found dead would else be the last that was ever kept. At a request a second it
/// costs one dead connection in a hundred.
const DOUBLES: Span = 4_000 * MS;
/// An end that was seen may have been the host's own: a part of the trust goes, no more.
const SEEN: f64 = 0.9;
/// A request that may not run twice is given to one that has stood for this part of what is trusted, or less: to open
/// another costs a round trip and a little of the host's work, a dead one the request.
const ONCE: u64 = 4;

/// What all hosts have shown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Keep {
    longest: Span,
    all: Limit,
}

/// What one host has shown; `None`: nothing of its own.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Trust(Option<Limit>);

/// For how long idle connections were trusted at a moment.
#[derive(Clone, Copy, Debug)]
struct Limit {
    span: Span,
    at: Time,
}

impl Limit {
    /// By now it has grown.
    fn now(self, now: Time, longest: Span) -> Span {
        let doubled = now.saturating_sub(self.at) as f64 / DOUBLES as f64;
        let grown = self.span as f64 * doubled.min(64.0).exp2();
        if grown < longest as f64 {
            grown as Span
        } else {
            longest
        }
    }

    /// After a connection that had stood for so long was found alive.
    fn proven(self, now: Time, stood: Span, longest: Span) -> Limit {
        let span = self.now(now, longest);
        let grown = if stood > span / 2 { (span as f64 * GROWS) as Span } else { span };
        Limit { span: grown.min(longest), at: now }
    }
}

impl Keep {
    /// Connections are kept for `longest` at the most.
    pub fn new(longest: Span) -> Keep {
        Keep { longest, all: Limit { span: longest, at: 0 } }
    }

    fn of(&self, now: Time, host: Trust) -> Span {
        host.0.unwrap_or(self.all).now(now, self.longest)
    }

    /// For how long a connection to this host is trusted while idle; shorter for a request that may run only `once`.
    pub fn limit(&self, now: Time, host: Trust, once: bool) -> Span {
        let limit = self.of(now, host);
        if once {
            limit / ONCE
        } else {
            limit
        }
    }

    /// One that had stood for so long carried its request.
    pub fn alive(&mut self, now: Time, host: &mut Trust, stood: Span) {
        let longest = self.longest;
        self.all = self.all.proven(now, stood, longest);
        // One that is like the others again needs no figure of its own.
        host.0 = host.0.map(|limit| limit.proven(now, stood, longest)).filter(|limit| limit.span < longest);
    }

    /// One that had stood for so long was found dead by a request.
    pub fn dead(&mut self, now: Time, host: &mut Trust, stood: Span) {
        if stood > LEAST {
            let cut = |limit: Span| Limit { span: limit.min(stood / 2).max(LEAST), at: now };
            host.0 = Some(cut(self.of(now, *host)));
            self.all = cut(self.all.now(now, self.longest));
        }
    }

    /// An idle one was seen to end after so long.
    pub fn ended(&self, now: Time, host: &mut Trust, stood: Span) {
        let limit = self.of(now, *host);
        if (LEAST..limit).contains(&stood) {
            host.0 = Some(Limit { span: ((limit as f64 * SEEN) as Span).max(LEAST), at: now });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Connections to a host are dropped unseen after so long; requests come every 5 to 500 ms, one in six of which may
    /// run only once. How many found a dead one, of each kind, and how many wanted a new connection.
    fn play(drops_after: Span, requests: u64) -> [u64; 4] {
        let (mut keep, mut host) = (Keep::new(7_500 * MS), Trust::default());
        let mut counts = [0; 4];
        let mut now = 0;
        for n in 0..requests {
            now += 20 * MS;
            let stood = (5 + n * 7919 % 496) * MS;
            let once = n % 6 == 0;
            if stood >= keep.limit(now, host, once) {
                counts[2 + usize::from(once)] += 1;
            } else if stood > drops_after {
                counts[usize::from(once)] += 1;
                keep.dead(now, &mut host, stood);
            } else {
                keep.alive(now, &mut host, stood);
            }
        }
        counts
    }

    #[test]
    fn what_may_run_only_once_finds_next_to_no_dead_connections() {
        for drops_after in [20 * MS, 100 * MS, 300 * MS] {
            let [dead, dead_once, ..] = play(drops_after, 20_000);
            assert!(dead < 20_000 / 20, "{drops_after}: {dead}");
            assert!(dead_once <= 2, "{drops_after}: {dead_once}");
        }
        let [dead, dead_once, new, _] = play(Span::MAX, 20_000);
        assert_eq!([dead, dead_once, new], [0; 3], "where none is dropped all are used");
    }

    #[test]
    fn one_host_that_drops_connections_leaves_the_others_theirs() {
        let mut keep = Keep::new(7_500 * MS);
        let (mut bad, mut good) = (Trust::default(), Trust::default());
        keep.dead(MS, &mut bad, 200 * MS);
        keep.dead(MS, &mut good, 400 * MS);
        (0..200).for_each(|_| keep.alive(MS, &mut good, 5_000 * MS));
        assert_eq!((keep.limit(MS, bad, false), keep.limit(MS, good, false)), (100 * MS, 7_500 * MS));
        // Ends that are seen take away a part.
        keep.ended(MS, &mut good, 5_000 * MS);
        assert_eq!(keep.limit(MS, good, false), 6_750 * MS);
    }

    #[test]
    fn where_requests_are_thin_a_connection_that_was_found_dead_is_not_the_last_that_is_kept() {
        let mut keep = Keep::new(7_500 * MS);
        let mut host = Trust::default();
        keep.dead(0, &mut host, 30 * MS);
        assert_eq!(keep.limit(0, host, false), 15 * MS);
        assert_eq!(keep.limit(2 * DOUBLES, host, false), 60 * MS);
        assert_eq!(keep.limit(20 * DOUBLES, host, true), 7_500 * MS / ONCE, "and no longer than before");
    }
}
