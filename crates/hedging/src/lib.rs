//! How long answers take, how many never come, and when a further attempt is worth more than waiting for this one.
//!
//! [`LatencyDistribution`] is a distribution of answer times in buckets of even ratio, in which old answers fade. [`LossRate`] is the
//! share of attempts that nobody answers. [`LatencyDistribution::hedge_delay`] weighs both: for how long to wait for an attempt, if what
//! counts is that some answer comes in the time left and each further attempt has a price. No I/O, no clock, no chance.
//!
//! ```
//! use hedging::{RemainingTime, LatencyDistribution};
//!
//! let mut times = LatencyDistribution::default();
//! (0..1_000).for_each(|n| times.record_response(0.02 + 0.00004 * f64::from(n)));
//! // One attempt in 27 is never answered: it is given up well before the time is over, and after nearly all answers.
//! let left = RemainingTime { until_objective: 0.24, until_deadline: 0.6, late_fraction: 0.2 };
//! let wait = times.hedge_delay(left, 0.037, 0.1);
//! assert!((0.055..0.24).contains(&wait), "{wait}");
//! // Where all are answered there is nothing to give up.
//! assert_eq!(times.hedge_delay(left, 0.0, 0.1), 0.6);
//! ```

/// Buckets of answer times, and how much longer each is than the one before: from a quarter of a millisecond to more
/// than a minute.
const BUCKETS: usize = 96;
const FROM: f64 = 0.000_25;
const RATIO: f64 = 1.15;
/// Beyond so many answers all that came before counts half.
const REMEMBERED: f64 = 2_000.0;
/// With fewer nothing is said.
const ENOUGH: f64 = 30.0;

/// How long answers take, as multiples of what is usual at their host.
#[derive(Clone, Debug)]
pub struct LatencyDistribution {
    counts: [f32; BUCKETS],
    total: f64,
}

impl Default for LatencyDistribution {
    fn default() -> LatencyDistribution {
        LatencyDistribution { counts: [0.0; BUCKETS], total: 0.0 }
    }
}

/// The natural logarithm of [`RATIO`].
const LN_RATIO: f64 = 0.139_761_942_375_158_68;
/// Where each bucket ends, in seconds.
const ENDS: [f64; BUCKETS] = {
    let mut ends = [FROM * RATIO; BUCKETS];
    let mut bucket = 1;
    while bucket < BUCKETS {
        ends[bucket] = ends[bucket - 1] * RATIO;
        bucket += 1;
    }
    ends
};

fn bucket(seconds: f64) -> usize {
    ((libm::log(seconds.max(FROM) / FROM) / LN_RATIO) as usize).min(BUCKETS - 1)
}

impl LatencyDistribution {
    /// An answer took so many seconds.
    pub fn record_response(&mut self, seconds: f64) {
        if !seconds.is_finite() {
            return;
        }
        self.add(bucket(seconds), 1.0);
    }

    fn add(&mut self, bucket: usize, count: f64) {
        self.counts[bucket] += count as f32;
        self.total += count;
        if self.total > REMEMBERED {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total = self.counts.iter().map(|count| f64::from(*count)).sum();
        }
    }

    /// Whether enough is known to say anything.
    pub fn has_enough_samples(&self) -> bool {
        self.total >= ENOUGH
    }

    /// The share of answers that take longer than so many seconds; half an answer is taken to be longer than all.
    pub fn fraction_above(&self, seconds: f64) -> f64 {
        let at = bucket(seconds);
        self.share(at, seconds, self.counts[at + 1..].iter().map(|count| f64::from(*count)).sum())
    }

    /// The same, of seconds in this bucket and with so many answers beyond it.
    fn share(&self, at: usize, seconds: f64, beyond: f64) -> f64 {
        let from = ENDS[at] / RATIO;
        let rest = ((ENDS[at] - seconds) / (ENDS[at] - from)).clamp(0.0, 1.0);
        (beyond + rest * f64::from(self.counts[at]) + 0.5) / (self.total + 0.5)
    }

    /// Answers beyond each bucket.
    fn tails(&self) -> [f64; BUCKETS] {
        let (mut tails, mut sum) = ([0.0; BUCKETS], 0.0);
        for (tail, count) in tails.iter_mut().zip(&self.counts).rev() {
            *tail = sum;
            sum += f64::from(*count);
        }
        tails
    }

    /// The chance that an attempt is never answered, when it has not been for so many seconds; `lost`: of all.
    pub fn probability_lost(&self, seconds: f64, lost: f64) -> f64 {
        let late = (1.0 - lost) * self.fraction_above(seconds);
        lost / (lost + late).max(f64::MIN_POSITIVE)
    }

    /// An attempt was given up after so many seconds, with these odds that no answer was to come. Had one come, it would
    /// have taken longer: that much is shared out among the longer times, so that giving up does not make answers look
    /// quicker than they are.
    pub fn record_abandoned(&mut self, seconds: f64, never: f64) {
        let late = 1.0 - never;
        let from = (bucket(seconds) + 1).min(BUCKETS - 1);
        let beyond: f64 = self.counts[from..].iter().map(|count| f64::from(*count)).sum();
        if beyond <= 0.0 {
            return self.add(from, late);
        }
        let part = 1.0 + late / beyond;
        self.counts[from..].iter_mut().for_each(|count| *count *= part as f32);
        self.total += late;
    }

    /// What an attempt made now is worth, as a part of an answer in time.
    pub fn value_of_attempt(&self, left: RemainingTime, lost: f64) -> f64 {
        let by = |seconds: f64| {
            if seconds > 0.0 {
                (1.0 - lost) * (1.0 - self.fraction_above(seconds))
            } else {
                0.0
            }
        };
        (1.0 - left.late_fraction) * by(left.until_objective) + left.late_fraction * by(left.until_deadline)
    }

    /// For how many seconds to wait for an attempt that is made now before a further one is made beside it; to the
    /// deadline: there is none. `lost`: the share of attempts that nobody answers. `price`: what a
    /// further attempt costs, as a part of what an answer in time is worth.
    ///
    /// Of all moments it is the one with the most worth answered, less the price. A further attempt is taken to help where
    /// no answer was to come, and not where one takes long: what costs one host much work costs another as much.
    pub fn hedge_delay(&self, left: RemainingTime, lost: f64, price: f64) -> f64 {
        if !self.has_enough_samples() || lost <= 0.0 {
            return left.until_deadline;
        }
        let tails = self.tails();
        let by = |seconds: f64| {
            let at = bucket(seconds);
            let longer = if seconds > 0.0 { self.share(at, seconds, tails[at]) } else { 1.0 };
            (1.0 - lost) * (1.0 - longer)
        };
        let late = left.late_fraction;
        let ends = [
            (1.0 - late, left.until_objective, by(left.until_objective)),
            (late, left.until_deadline, by(left.until_deadline)),
        ];
        let mut best = (ends.iter().map(|(worth, _, alone)| worth * alone).sum::<f64>(), left.until_deadline);
        for (beyond, after) in tails.into_iter().zip(ENDS) {
            if after >= left.until_deadline {
                break;
            }
            let longer = (beyond + 0.5) / (self.total + 0.5);
            let silent = 1.0 - (1.0 - lost) * (1.0 - longer);
            // While most answers are still to come, or a further attempt costs more than it could ever bring, there is
            // nothing to be weighed.
            if longer > 0.5 || price * silent >= lost {
                continue;
            }
            let value = |(worth, end, alone): &(f64, f64, f64)| worth * (alone + lost * by(end - after));
            let value = ends.iter().map(value).sum::<f64>() - price * silent;
            if value > best.0 + 1e-9 {
                best = (value, after);
            }
        }
        best.1
    }
}

/// What time an answer has, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemainingTime {
    /// Until the latency objective; below 0 after it.
    pub until_objective: f64,
    /// Until nobody waits for it any more.
    pub until_deadline: f64,
    /// What an answer after the objective is worth, as a part of one before.
    pub late_fraction: f64,
}

/// The share of attempts that nobody answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct LossRate {
    asked: f32,
    lost: f32,
}

impl LossRate {
    /// An attempt is over: `never` from 0 (answered) to 1 (surely never answered).
    pub fn record(&mut self, never: f64) {
        self.asked += 1.0;
        self.lost += never as f32;
        if self.asked > 400.0 {
            (self.asked, self.lost) = (self.asked / 2.0, self.lost / 2.0);
        }
    }

    /// The share, if so many attempts more had fared as is `usual`.
    pub fn estimate(&self, usual: f64, more: f64) -> f64 {
        (f64::from(self.lost) + usual * more) / (f64::from(self.asked) + more).max(1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Answers of 40 ms in the median and now and then much longer: lognormal, by quantiles, so without chance.
    fn times(cv: f64) -> LatencyDistribution {
        let mut times = LatencyDistribution::default();
        let sigma = libm::sqrt(libm::log(1.0 + cv * cv));
        for n in 0..1_000 {
            // Logistic quantiles, near enough to those of a normal distribution.
            let p = (f64::from(n) + 0.5) / 1_000.0;
            let z = libm::log(p / (1.0 - p)) / 1.702;
            times.record_response(0.04 * libm::exp(sigma * z));
        }
        times
    }

    #[test]
    fn the_longer_silence_lasts_the_surer_it_is_that_no_answer_comes() {
        let times = times(0.8);
        let never = |after| times.probability_lost(after, 0.037);
        assert!(never(0.01) < 0.05 && never(0.3) > 0.7, "{} {}", never(0.01), never(0.3));
        assert!([0.02, 0.05, 0.1, 0.2, 0.4].windows(2).all(|w| never(w[0]) < never(w[1])));
        assert!((times.fraction_above(0.04) - 0.5).abs() < 0.05);
    }

    #[test]
    fn it_waits_as_long_as_a_further_attempt_leaves_it() {
        let left = |until_objective| RemainingTime {
            until_objective,
            until_deadline: until_objective,
            late_fraction: 0.0,
        };
        let late = RemainingTime { until_objective: 0.24, until_deadline: 0.6, late_fraction: 0.2 };
        // Time left, share lost, price; from when to when another is made.
        let cases = [
            (left(0.6), 0.037, 0.03, 0.12, 0.45), // time enough for two
            (left(0.6), 0.5, 0.1, 0.02, 0.45),    // half are lost
            (left(0.05), 0.037, 0.1, 0.05, 0.05), // time for one only
            (left(0.6), 0.0001, 0.03, 0.6, 0.6),  // nearly all are answered
            (left(0.6), 0.037, 5.0, 0.6, 0.6),    // a further one costs more than it is worth
            (late, 0.037, 0.03, 0.1, 0.24),       // it still may be in time
            (RemainingTime { until_objective: -0.1, ..late }, 0.9, 0.05, 0.04, 0.6),
        ];
        for (left, lost, price, from, to) in cases {
            let wait = times(0.8).hedge_delay(left, lost, price);
            assert!((from..=to).contains(&wait), "{left:?} {lost} {price}: {wait}");
        }
        assert_eq!(LatencyDistribution::default().hedge_delay(late, 0.5, 0.1), 0.6, "nothing is known");
        let value = |left| times(0.8).value_of_attempt(left, 0.0);
        assert!(
            value(late) > 0.9
                && (0.1..=0.2).contains(&value(RemainingTime {
                    until_objective: -0.1,
                    until_deadline: 0.3,
                    ..late
                }))
        );
    }

    #[test]
    fn two_humps_are_both_waited_for_or_neither() {
        let mut times = LatencyDistribution::default();
        for n in 0..1_000 {
            times.record_response(if n % 5 == 0 { 0.2 } else { 0.004 });
        }
        let wait = times.hedge_delay(
            RemainingTime { until_objective: 0.6, until_deadline: 0.6, late_fraction: 0.0 },
            0.01,
            0.03,
        );
        assert!(wait > 0.2, "a fifth of all answers come after 200 ms: {wait}");
    }

    #[test]
    fn giving_up_does_not_make_answers_look_quicker() {
        let mut cut = times(0.8);
        // All that takes longer than 100 ms is given up, a hundred answers in a row.
        let whole = cut.fraction_above(0.1);
        for _ in 0..20 {
            (0..900).for_each(|n| cut.record_response(0.02 + 0.00005 * f64::from(n)));
            (0..100).for_each(|_| cut.record_abandoned(0.1, 0.0));
        }
        assert!(cut.fraction_above(0.1) > 0.8 * whole, "{} was {whole}", cut.fraction_above(0.1));
    }

    #[test]
    fn what_was_learnt_in_a_burst_of_long_answers_fades() {
        let mut times = times(0.3);
        (0..1_000).for_each(|_| times.record_response(1.0));
        assert!(times.fraction_above(0.5) > 0.4);
        (0..8_000).for_each(|_| times.record_response(0.04));
        assert!(times.fraction_above(0.5) < 0.05, "{}", times.fraction_above(0.5));
        let mut silence = LossRate::default();
        (0..100).for_each(|_| silence.record(1.0));
        (0..2_000).for_each(|_| silence.record(0.0));
        assert!(silence.estimate(0.0, 0.0) < 0.02, "{silence:?}");
    }
}
