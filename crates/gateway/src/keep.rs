//! How long an idle connection to a host is trusted. Hosts, or what stands between, drop kept connections unseen, and a
//! request that is written to a dead one ends as a reset: it may have run, as far as anybody can tell, and one that may
//! not run twice is lost. So the spans that connections were found alive and dead after are evidence, of each host by
//! itself and of all together for those that have shown none.

use fennelbeam_policy::api::Span;

const MS: Span = 1_000_000;
/// Trusted for this long at the least.
const LEAST: Span = 10 * MS;
/// A little longer after each use near the limit: where use and growth balance, one in some twenty-five such uses
/// finds a dead one.
const GROWS: f64 = 1.04;
/// An end that was seen may have been the host's own: a part of the trust goes, no more.
const SEEN: f64 = 0.9;
/// A request that may not run twice is given to one that has stood for this part of what is trusted, or less: to open
/// another costs a round trip and a little of the host's work, a dead one the request.
const ONCE: u64 = 4;

/// What all hosts have shown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Keep {
    longest: Span,
    all: Span,
}

/// What one host has shown; `None`: nothing of its own.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Trust(Option<Span>);

impl Keep {
    /// Connections are kept for `longest` at the most.
    pub fn new(longest: Span) -> Keep {
        Keep { longest, all: longest }
    }

    /// For how long a connection to this host is trusted while idle; shorter for a request that may run only `once`.
    pub fn limit(&self, host: Trust, once: bool) -> Span {
        let limit = host.0.unwrap_or(self.all);
        if once {
            limit / ONCE
        } else {
            limit
        }
    }

    /// One that had stood for so long carried its request.
    pub fn alive(&mut self, host: &mut Trust, stood: Span) {
        let longest = self.longest;
        let grown = |limit: Span| if stood > limit / 2 { (limit as f64 * GROWS) as Span } else { limit };
        self.all = grown(self.all).min(longest);
        // One that is like the others again needs no figure of its own.
        host.0 = host.0.map(grown).filter(|limit| *limit < longest);
    }

    /// One that had stood for so long was found dead by a request.
    pub fn dead(&mut self, host: &mut Trust, stood: Span) {
        if stood > LEAST {
            let cut = |limit: Span| limit.min(stood / 2).max(LEAST);
            host.0 = Some(cut(host.0.unwrap_or(self.all)));
            self.all = cut(self.all);
        }
    }

    /// An idle one was seen to end after so long.
    pub fn ended(&self, host: &mut Trust, stood: Span) {
        let limit = host.0.unwrap_or(self.all);
        if (LEAST..limit).contains(&stood) {
            host.0 = Some(((limit as f64 * SEEN) as Span).max(LEAST));
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
        for n in 0..requests {
            let stood = (5 + n * 7919 % 496) * MS;
            let once = n % 6 == 0;
            if stood >= keep.limit(host, once) {
                counts[2 + usize::from(once)] += 1;
            } else if stood > drops_after {
                counts[usize::from(once)] += 1;
                keep.dead(&mut host, stood);
            } else {
                keep.alive(&mut host, stood);
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
        keep.dead(&mut bad, 200 * MS);
        keep.dead(&mut good, 400 * MS);
        (0..200).for_each(|_| keep.alive(&mut good, 5_000 * MS));
        assert_eq!((keep.limit(bad, false), keep.limit(good, false)), (100 * MS, 7_500 * MS));
        // Ends that are seen take away a part.
        keep.ended(&mut good, 5_000 * MS);
        assert_eq!(keep.limit(good, false), 6_750 * MS);
    }
}
