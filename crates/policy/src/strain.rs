//! How many slots one of many gateways may use: learnt from how much longer answers take than at ease.
//!
//! All gateways divide the slots of the hosts evenly, for nobody tells them more. In a small fleet that part
//! is well above ordinary use. In a large one it is two or three slots, traffic is uneven, and a busy gateway
//! turns requests away before idle hosts. So where the part is small, a gateway may use some times its part,
//! up to a few slots, while answers come as quickly as they do at ease; where they take longer, the hosts
//! have work enough from all gateways together, and each goes back towards its part. All see the same hosts,
//! so all turn at about the same time.

/// Times its part that a gateway may use: so much for each gateway there is, and the most.
const STRETCH: (f64, f64) = (0.1, 4.0);
/// Slots from which on a part is not small.
const ENOUGH: f64 = 10.0;
/// Logarithms of how much longer answers take: at ease below the first, strained above the second.
const STRAIN: (f64, f64) = (0.5, 0.7);
/// By which slots grow in a period at ease, and shrink in a strained one.
const TURNS: (f64, f64) = (1.25, 0.8);
/// Answers that the strain looks back on.
const LOOKS_BACK: f64 = 20.0;
/// Answers after which the usual latency at ease is known, and its steps upwards and downwards for an answer.
const FIRST: u32 = 20;
const STEPS: (f64, f64) = (0.001, 0.05);

/// What a class takes at ease: it follows its usual latency, downwards soon and upwards hardly.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ease {
    seconds: f64,
    answers: u32,
}

impl Ease {
    /// The usual latency, in seconds, after one answer more. Gives what it is at ease.
    pub fn follow(&mut self, usual: f64) -> f64 {
        self.answers = (self.answers + 1).min(FIRST);
        let step = match usual < self.seconds {
            _ if self.answers < FIRST => 1.0,
            true => STEPS.1,
            false => STEPS.0,
        };
        self.seconds += step * (usual - self.seconds);
        self.seconds
    }
}

/// What a gateway makes of how strained the hosts are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Strain {
    most: f64,
    times: f64,
    /// Logarithm of how much longer answers take than at ease, lately.
    longer: f64,
}

impl Default for Strain {
    fn default() -> Strain {
        Strain::new(1)
    }
}

impl Strain {
    /// Of one of so many gateways, which begins half-way.
    pub fn new(gateways: u32) -> Strain {
        let most = (STRETCH.0 * f64::from(gateways)).clamp(1.0, STRETCH.1);
        Strain { most, times: (0.5 * most).max(1.0), longer: 0.0 }
    }

    /// An answer took so many times what its class takes at ease.
    pub fn answered(&mut self, times: f64) {
        self.longer += (libm::log(times.clamp(0.05, 20.0)) - self.longer) / LOOKS_BACK;
    }

    /// A period is over. Gives what is made of it.
    pub fn settle(&mut self) -> Strain {
        let turn = match self.longer {
            longer if longer < STRAIN.0 => TURNS.0,
            longer if longer > STRAIN.1 => TURNS.1,
            _ => 1.0,
        };
        self.times = (self.times * turn).clamp(1.0, self.most);
        *self
    }

    /// Slots that may be used, of an even part.
    pub fn slots(&self, part: f64) -> f64 {
        part.max((self.times * part).min(ENOUGH))
    }

    /// Whether hosts have work enough, where an even part is too small to tell.
    pub fn is_strained(&self, part: f64) -> bool {
        part < ENOUGH && self.most > 1.0 && self.longer > STRAIN.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// After so many periods of seven answers each that take so many times what is usual at ease.
    fn after(gateways: u32, periods: u32, times: f64) -> Strain {
        let mut strain = Strain::new(gateways);
        for _ in 0..periods {
            (0..7).for_each(|_| strain.answered(times));
            strain.settle();
        }
        strain
    }

    #[test]
    fn in_a_small_fleet_a_part_is_a_part_whatever_answers_take() {
        for times in [1.0, 5.0] {
            let strain = after(9, 30, times);
            assert_eq!((strain.slots(1.5), strain.slots(13.0)), (1.5, 13.0));
            assert!(!strain.is_strained(1.5));
        }
    }

    #[test]
    fn one_of_many_uses_more_than_its_part_at_ease_and_goes_back_to_it_under_strain() {
        let mut strain = after(300, 10, 1.0);
        assert_eq!((strain.slots(2.5), strain.slots(4.0), strain.slots(13.0)), (10.0, 10.0, 13.0));
        assert!(!strain.is_strained(2.5));
        for _ in 0..12 {
            (0..7).for_each(|_| strain.answered(3.0));
            strain.settle();
        }
        assert_eq!(strain.slots(2.5), 2.5);
        assert!(strain.is_strained(2.5) && !strain.is_strained(13.0));
    }

    #[test]
    fn what_is_usual_at_ease_follows_downwards_soon_and_upwards_hardly() {
        let mut ease = Ease::default();
        let mut after = |usual: f64, answers: usize| (0..answers).map(|_| ease.follow(usual)).last().unwrap();
        assert_eq!(after(0.3, 19), 0.3);
        assert!(after(0.1, 60) < 0.12);
        let risen = after(1.0, 100);
        assert!((0.15..0.25).contains(&risen), "a burst of ten seconds is no ease: {risen}");
    }
}
