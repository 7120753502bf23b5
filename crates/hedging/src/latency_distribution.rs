//! The distribution of response times: a histogram whose buckets grow by a constant ratio.

/// Number of buckets. With [`BUCKET_RATIO`] they range from a quarter of a millisecond to more than a minute.
const BUCKET_COUNT: usize = 96;
/// Lower edge of the first bucket, in seconds. Shorter response times are counted in this bucket.
const SHORTEST: f64 = 0.000_25;
/// Width of each bucket relative to the previous one, so that a response time has a resolution of 15 %.
const BUCKET_RATIO: f64 = 1.15;
/// Natural logarithm of [`BUCKET_RATIO`].
const LN_BUCKET_RATIO: f64 = 0.139_761_942_375_158_68;
/// Number of responses beyond which all counts are halved, so that older responses lose weight.
const MAX_RESPONSES: f64 = 2_000.0;
/// Minimum number of responses for decisions based on the distribution.
const MIN_RESPONSES: f64 = 30.0;
/// Number of responses assumed to take longer than all recorded ones (additive smoothing). Without it a few fast
/// responses would make a longer response time appear impossible.
const ASSUMED_SLOWER_RESPONSES: f64 = 0.5;

/// Upper edge of each bucket, in seconds.
const BUCKET_ENDS: [f64; BUCKET_COUNT] = {
    let mut ends = [SHORTEST * BUCKET_RATIO; BUCKET_COUNT];
    let mut bucket = 1;
    while bucket < BUCKET_COUNT {
        ends[bucket] = ends[bucket - 1] * BUCKET_RATIO;
        bucket += 1;
    }
    ends
};

/// Returns the bucket of a response time in seconds.
fn bucket_index(seconds: f64) -> usize {
    ((libm::log(seconds.max(SHORTEST) / SHORTEST) / LN_BUCKET_RATIO) as usize).min(BUCKET_COUNT - 1)
}

/// The distribution of response times in seconds, learned from completed attempts. Older responses lose weight.
///
/// A caller whose hosts differ in speed divides each time by the usual relative response time of its host.
#[derive(Clone, Debug)]
pub struct LatencyDistribution {
    counts: [f32; BUCKET_COUNT],
    total: f64,
}

impl Default for LatencyDistribution {
    fn default() -> LatencyDistribution {
        LatencyDistribution { counts: [0.0; BUCKET_COUNT], total: 0.0 }
    }
}

impl LatencyDistribution {
    /// Records a response that took `seconds`. A time that is not finite is ignored.
    pub fn record_response(&mut self, seconds: f64) {
        if !seconds.is_finite() {
            return;
        }
        self.add(bucket_index(seconds), 1.0);
    }

    /// Records an attempt that was abandoned after `seconds`; `probability_lost` is the probability that it would never
    /// have got a response.
    ///
    /// A response would have taken longer than `seconds`, so its probability is distributed among the longer times
    /// in proportion to their counts. Without this, abandoning attempts would make responses appear faster than they
    /// are (a censored observation; the redistribution is that of the Kaplan-Meier estimator).
    pub fn record_abandoned(&mut self, seconds: f64, probability_lost: f64) {
        let probability_late = 1.0 - probability_lost;
        let first_longer = (bucket_index(seconds) + 1).min(BUCKET_COUNT - 1);
        let longer: f64 = self.counts[first_longer..].iter().map(|count| f64::from(*count)).sum();
        if longer <= 0.0 {
            return self.add(first_longer, probability_late);
        }
        let growth = 1.0 + probability_late / longer;
        self.counts[first_longer..].iter_mut().for_each(|count| *count *= growth as f32);
        self.total += probability_late;
    }

    fn add(&mut self, bucket: usize, count: f64) {
        self.counts[bucket] += count as f32;
        self.total += count;
        if self.total > MAX_RESPONSES {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total = self.counts.iter().map(|count| f64::from(*count)).sum();
        }
    }

    /// Returns whether enough responses were recorded for decisions based on the distribution.
    #[must_use]
    pub fn has_enough_samples(&self) -> bool {
        self.total >= MIN_RESPONSES
    }

    /// Returns the fraction of responses that take longer than `seconds`. It is never 0, since half a response is
    /// assumed to take longer than all recorded ones.
    #[must_use]
    pub fn fraction_above(&self, seconds: f64) -> f64 {
        let bucket = bucket_index(seconds);
        let in_longer_buckets = self.counts[bucket + 1..].iter().map(|count| f64::from(*count)).sum();
        self.fraction_above_in(bucket, seconds, in_longer_buckets)
    }

    /// Returns [`LatencyDistribution::fraction_above`] for a time in `bucket`, given the number of responses in
    /// longer buckets. Within a bucket the response times are assumed to be uniformly distributed.
    fn fraction_above_in(&self, bucket: usize, seconds: f64, in_longer_buckets: f64) -> f64 {
        let end = BUCKET_ENDS[bucket];
        let start = end / BUCKET_RATIO;
        let fraction_of_bucket_above = ((end - seconds) / (end - start)).clamp(0.0, 1.0);
        self.smoothed_fraction(in_longer_buckets + fraction_of_bucket_above * f64::from(self.counts[bucket]))
    }

    /// Returns `longer_responses` as a fraction of all responses, with additive smoothing.
    fn smoothed_fraction(&self, longer_responses: f64) -> f64 {
        (longer_responses + ASSUMED_SLOWER_RESPONSES) / (self.total + ASSUMED_SLOWER_RESPONSES)
    }

    /// Returns the probability that an attempt never gets a response, given that it has none after `seconds` (Bayes'
    /// theorem). `loss_rate` is the prior probability, for an attempt that was just sent.
    #[must_use]
    pub fn probability_lost(&self, seconds: f64, loss_rate: f64) -> f64 {
        let late = (1.0 - loss_rate) * self.fraction_above(seconds);
        loss_rate / (loss_rate + late).max(f64::MIN_POSITIVE)
    }

    /// Returns the survival function of the distribution, with the sums over buckets computed once.
    pub(crate) fn survival_function(&self) -> SurvivalFunction<'_> {
        let mut in_longer_buckets = [0.0; BUCKET_COUNT];
        let mut sum = 0.0;
        for (longer, count) in in_longer_buckets.iter_mut().zip(&self.counts).rev() {
            *longer = sum;
            sum += f64::from(*count);
        }
        SurvivalFunction { distribution: self, in_longer_buckets }
    }
}

/// The fraction of responses that take longer than a given time. It is faster than
/// [`LatencyDistribution::fraction_above`] when evaluated for many times.
pub(crate) struct SurvivalFunction<'a> {
    distribution: &'a LatencyDistribution,
    /// For each bucket, the number of responses in longer buckets.
    in_longer_buckets: [f64; BUCKET_COUNT],
}

impl SurvivalFunction<'_> {
    /// Returns the fraction of responses that take longer than `seconds`; 1 if `seconds` is not positive.
    pub(crate) fn fraction_above(&self, seconds: f64) -> f64 {
        if seconds > 0.0 {
            let bucket = bucket_index(seconds);
            self.distribution.fraction_above_in(bucket, seconds, self.in_longer_buckets[bucket])
        } else {
            1.0
        }
    }

    /// Returns the upper edge of each bucket in seconds, ascending, with the fraction of responses that take longer.
    pub(crate) fn points(&self) -> impl Iterator<Item = (f64, f64)> + '_ {
        let fractions =
            self.in_longer_buckets.iter().map(|longer| self.distribution.smoothed_fraction(*longer));
        BUCKET_ENDS.into_iter().zip(fractions)
    }
}
