//! What a run is made of: who asks for what, how fast, of hosts that are like this. Plain data, and what can be wrong
//! with it.

use clap::{Args, ValueEnum};
use serde::{Deserialize, Serialize};

/// Bounds of a run, so that no word on the command line starts what does not end, or fills the machine.
const MOST_HOSTS: usize = 500;
const MOST_CONNECTIONS: usize = 10_000;
const MOST_RATE: f64 = 200_000.0;
const MOST_SECONDS: f64 = 900.0;
const MOST_CUSTOMERS: u64 = 10_000_000;
const MOST_VALUE: usize = 64 * 1024;

/// How customers are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Customers {
    /// All alike.
    Uniform,
    /// A few ask for most: the n-th as often as 1/n.
    Zipf,
    /// One asks for half of all, the others are alike.
    Hot,
    /// Each asks once, one after the other, beside `--regular` ones that share a tenth of the requests.
    Once,
}

/// One run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Args)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Hosts (at most 500)
    #[arg(long, default_value_t = 60)]
    pub hosts: usize,
    /// What a host takes for a request, in milliseconds
    #[arg(long, default_value_t = 5.0)]
    pub service_ms: f64,
    /// Requests that a host has in work at once; 0: any number
    #[arg(long, default_value_t = 0)]
    pub cores: usize,
    /// Requests that wait at a host beyond those; more are turned away
    #[arg(long, default_value_t = 64)]
    pub queue: usize,
    /// Requests a second, whatever becomes of them; 0: each connection asks again as soon as it has an answer
    #[arg(long, default_value_t = 0.0)]
    pub rate: f64,
    /// Connections of clients: so many, or with --rate so many at the most
    #[arg(long, default_value_t = 200)]
    pub connections: usize,
    /// Commands that a connection has out at once (without --rate)
    #[arg(long, default_value_t = 1)]
    pub pipeline: usize,
    /// How customers are drawn
    #[arg(long, value_enum, default_value_t = Customers::Uniform)]
    pub draw: Customers,
    /// Customers that there are
    #[arg(long, default_value_t = 100)]
    pub customers: u64,
    /// Regular customers beside those that ask once (with --draw once)
    #[arg(long, default_value_t = 500)]
    pub regular: u64,
    /// Each customer asks once before the run
    #[arg(long)]
    pub prime: bool,
    /// Share of the requests that are orders
    #[arg(long, default_value_t = 0.16)]
    pub orders: f64,
    /// Share of the customers that have the premium plan
    #[arg(long, default_value_t = 0.2)]
    pub premium: f64,
    /// Units a second that a plan grants a customer; its burst is as much
    #[arg(long, default_value_t = 5000.0)]
    pub quota: f64,
    /// Bytes of an answer's value
    #[arg(long, default_value_t = 64)]
    pub value: usize,
    /// Bytes of an order
    #[arg(long, default_value_t = 64)]
    pub body: usize,
    /// Times that a client tries a refused request again, at once
    #[arg(long, default_value_t = 0)]
    pub retries: u32,
    /// What the gateway is told of its memory, in MB
    #[arg(long, default_value_t = 192)]
    pub memory_mb: u32,
    /// What the gateway is told of its descriptors
    #[arg(long, default_value_t = 1024)]
    pub sockets: u32,
    /// The program is stopped for so many milliseconds at a time while it counts, as by a machine that gives it a part
    /// of a core
    #[arg(long, default_value_t = 0)]
    pub stop_ms: u64,
    /// And goes on for so many
    #[arg(long, default_value_t = 100)]
    pub go_ms: u64,
    /// Seconds before anything counts
    #[arg(long, default_value_t = 2.0)]
    pub warm_s: f64,
    /// Seconds that count
    #[arg(long, default_value_t = 8.0)]
    pub length_s: f64,
    /// All chance comes from it
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl Spec {
    /// What is wrong with it, in one line.
    pub fn check(&self) -> Result<(), String> {
        let Spec { hosts, connections, rate, customers, value, body, .. } = *self;
        let share = |share: f64| (0.0..=1.0).contains(&share);
        let checks = [
            (!(1..=MOST_HOSTS).contains(&hosts), "--hosts is from 1 to 500"),
            (!(1..=MOST_CONNECTIONS).contains(&connections), "--connections is from 1 to 10,000"),
            (!(0.0..=MOST_RATE).contains(&rate), "--rate is up to 200,000 a second"),
            (!(1..=1_000).contains(&self.pipeline), "--pipeline is from 1 to 1,000"),
            (rate > 0.0 && self.pipeline > 1, "--pipeline goes without --rate"),
            (!(1..=MOST_CUSTOMERS).contains(&customers), "--customers is from 1 to 10,000,000"),
            (
                !(1..=customers).contains(&self.regular) && self.draw == Customers::Once,
                "--regular is from 1 to --customers",
            ),
            (value > MOST_VALUE || body > MOST_VALUE, "--value and --body are up to 65,536 bytes"),
            (value < 16, "--value is 16 bytes at the least: the id that the client looks for"),
            (!share(self.orders), "--orders is a share, from 0 to 1"),
            (!share(self.premium), "--premium is a share, from 0 to 1"),
            (!(0.1..=1e9).contains(&self.quota), "--quota is from 0.1 to 1e9 units a second"),
            (!(0.0..=60_000.0).contains(&self.service_ms), "--service-ms is up to 60,000"),
            (!(0.0..=MOST_SECONDS).contains(&self.warm_s), "--warm-s is up to 900"),
            (!(0.1..=MOST_SECONDS).contains(&self.length_s), "--length-s is from 0.1 to 900"),
            (self.retries > 10, "--retries is up to 10"),
            (self.stop_ms > 5_000, "--stop-ms is up to 5,000"),
            (!(10..=60_000).contains(&self.go_ms), "--go-ms is from 10 to 60,000"),
        ];
        checks.iter().find(|(is_wrong, _)| *is_wrong).map_or(Ok(()), |(_, why)| Err((*why).to_owned()))
    }

    /// Requests a second that the hosts can do, where that is bounded.
    pub fn capacity(&self) -> Option<f64> {
        let each = self.cores as f64 * 1e3 / self.service_ms.max(1e-3);
        (self.cores > 0).then_some(self.hosts as f64 * each)
    }

    /// One line for people.
    pub fn title(&self) -> String {
        let asked = match self.rate {
            0.0 => format!("{} closed connections", self.connections),
            rate => format!("{rate} requests/s"),
        };
        let (customers, hosts, service) = (self.customers, self.hosts, self.service_ms);
        format!("{asked}, {customers} customers, {hosts} hosts of {service} ms")
    }
}

impl Default for Spec {
    fn default() -> Spec {
        #[derive(clap::Parser)]
        struct Words {
            #[command(flatten)]
            spec: Spec,
        }
        <Words as clap::Parser>::parse_from(["load"]).spec
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_out_of_bounds_is_said_in_one_line() {
        assert_eq!(Spec::default().check(), Ok(()));
        let usual = Spec::default;
        let broken = [
            (Spec { hosts: 501, ..usual() }, "--hosts"),
            (Spec { rate: f64::NAN, ..usual() }, "--rate"),
            (Spec { orders: 1.1, ..usual() }, "--orders"),
            (Spec { length_s: 1e9, ..usual() }, "--length-s"),
            (Spec { value: 15, ..usual() }, "--value"),
            (Spec { rate: 10.0, pipeline: 2, ..usual() }, "--pipeline"),
            (Spec { stop_ms: 5_001, ..usual() }, "--stop-ms"),
            (Spec { go_ms: 0, ..usual() }, "--go-ms"),
        ];
        for (spec, word) in broken {
            let why = spec.check().unwrap_err();
            assert!(why.starts_with(word) && !why.contains('\n'), "{why}");
        }
    }

    #[test]
    fn capacity_is_that_of_all_hosts() {
        let spec = Spec { hosts: 10, cores: 2, service_ms: 80.0, ..Spec::default() };
        assert_eq!((spec.capacity(), Spec::default().capacity()), (Some(250.0), None));
    }
}
