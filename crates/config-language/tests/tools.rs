//! Comparisons, warnings of big changes, and what is in force.

mod common;

use std::path::Path;

use common::{platform, set, sets};
use config_language::loader::Memory;
use config_language::{big_changes, diff, load, show};

const POOLS: &str = "pool \"north\" {\n  zones = [\"building-1\", \"building-2\"]\n}\npool \"all\" {}\n";

fn policy(settings: &str) -> String {
    format!("quota policy \"premium\" {{\n  plan = \"premium\"\n  {settings}\n}}\n")
}

fn route(name: &str, settings: &str) -> String {
    format!("route \"{name}\" {{\n  {settings}\n}}\n")
}

fn site(name: &str, settings: &str) -> String {
    format!("site \"{name}\" {{\n  zones = \"building-1\"\n  {settings}\n}}\n")
}

/// The sites `a` and `b`, and a takeover.
fn takeover(settings: &str) -> String {
    let sites = "site \"a\" { zones = \"building-1\" }\nsite \"b\" { zones = \"building-2\" }\n";
    format!("{sites}takeover \"x\" {{\n  lost = \"a\"\n  by = \"b\"\n  {settings}\n}}\n")
}

/// A shed for each class of these names, in this order, and a site.
fn sheds(names: [&str; 3]) -> String {
    let shed = |name| format!("shed \"{name}\" {{ classes = \"{name}\" }}\n");
    site("north", "") + &names.map(shed).concat()
}

fn changes(old: &str, new: &str) -> Vec<String> {
    diff(&set(old), &set(new)).into_iter().map(|change| change.text).collect()
}

#[test]
fn comparisons_speak_of_pools_routes_and_policies() {
    let with = |text: &str| format!("{POOLS}{text}");
    let orders = route("orders", "classes = \"unit-order\"\n  pool = \"north\"");
    let pairs: Vec<(String, String, &[&str])> = vec![
        (
            policy("rate = 30 units/s"),
            policy("rate = 30_000 units/s"),
            &["quota policy `premium`: rate 30 units/s -> 30 000 units/s, 1000 times"],
        ),
        (
            policy("rate = 30 units/s"),
            policy("rate = 30 units/min"),
            &["quota policy `premium`: rate 30 units/s -> 0.5 units/s, 1/60 of it"],
        ),
        (
            policy("rate = 30 units/s"),
            policy("rate = 31 units/s"),
            &["quota policy `premium`: rate 30 units/s -> 31 units/s"],
        ),
        (
            policy("rate = 30 units/s"),
            policy("rate = 30 units/s\n  burst = 46 units"),
            &["quota policy `premium`: burst as the plan grants -> 46 units"],
        ),
        (
            policy("rate = 30 units/s\n  open = 1 attempt"),
            policy("rate = 30 units/s"),
            &["quota policy `premium`: open 1 attempt -> as the plan grants"],
        ),
        (
            String::new(),
            policy("rate = 30 units/s"),
            &["quota policy `premium`: added (plan \"premium\"; rate 30 units/s)"],
        ),
        (
            policy("rate = 30 units/s"),
            String::new(),
            &["quota policy `premium`: removed (plan \"premium\"; rate 30 units/s)"],
        ),
        (
            policy("rate = 30 units/s"),
            policy("rate = 30 units/s").replace("plan = \"premium\"", "plan = \"gold\""),
            &["quota policy `premium`: plan \"premium\" -> \"gold\""],
        ),
        (
            POOLS.into(),
            POOLS.replace(", \"building-2\"", ""),
            &["pool `north`: zones [\"building-1\", \"building-2\"] -> [\"building-1\"]"],
        ),
        (
            POOLS.into(),
            POOLS.replace("  zones = [\"building-1\", \"building-2\"]\n", ""),
            &["pool `north`: zones [\"building-1\", \"building-2\"] -> any"],
        ),
        (POOLS.into(), format!("{POOLS}pool \"spare\" {{}}\n"), &["pool `spare`: added (any)"]),
        (
            "pool \"a\" { cells = [1..3] }".into(),
            "pool \"a\" { cells = [1..3, 9] }".into(),
            &["pool `a`: cells [1..3] -> [1..3, 9]"],
        ),
        (
            "pool \"a\" { ids = [\"a\", \"b\", \"c\", \"d\", \"e\"] }".into(),
            "pool \"a\" { ids = [\"f\", \"e\", \"d\", \"c\", \"b\"] }".into(),
            &["pool `a`: ids with \"f\", without \"a\""],
        ),
        (
            with(&orders),
            with(&orders.replace("\"north\"", "\"all\"")),
            &["route `orders`: pool \"north\" -> \"all\""],
        ),
        (
            with(&orders),
            with(&orders.replace("pool =", "fallback = \"all\"\n  pool =")),
            &["route `orders`: fallback none -> \"all\""],
        ),
        (
            with(&orders),
            with(&orders.replace("pool =", "most-out = 40 attempts\n  pool =")),
            &["route `orders`: most-out no bound -> 40 attempts"],
        ),
        (
            with(&orders),
            with(&orders.replace("pool =", "customers = 1..99\n  pool =")),
            &["route `orders`: customers any -> [1..99]"],
        ),
        (
            with(&orders),
            POOLS.into(),
            &["route `orders`: removed (classes [\"unit-order\"]; pool \"north\")"],
        ),
        (
            with(&orders),
            with(&orders.replace("\"orders\"", "\"o\"")),
            &[
                "route `orders`: removed (classes [\"unit-order\"]; pool \"north\")",
                "route `o`: added (classes [\"unit-order\"]; pool \"north\")",
            ],
        ),
        (
            site("north", "capacity = 600 requests/s"),
            site("north", "capacity = 1_200 requests/s\n  ramp = 45 s"),
            &[
                "site `north`: capacity 600 requests/s -> 1200 requests/s, 2 times",
                "site `north`: ramp 30 s -> 45 s",
            ],
        ),
        (site("north", ""), site("north", "told = \"lost\""), &["site `north`: told nothing -> \"lost\""]),
        (takeover("share = 60 %"), takeover(""), &["takeover `x`: share 60 % -> what is left, evenly"]),
        (
            sheds(["reads", "reports", "orders"]),
            sheds(["reports", "reads", "orders"]),
            &["shed `reports`: now comes before shed `reads`, and is refused first"],
        ),
        // From here on nothing changes.
        (site("north", "ramp = 60_000 ms"), site("north", "ramp = 1 min"), &[]),
        (site("north", "load = 90 requests/min"), site("north", "load = 1.5 requests/s"), &[]),
        (policy("rate = 30 units/s"), policy("rate = 1_800 units/min"), &[]),
        (policy("rate = 30 units/s"), format!("let r = 30 units/s\n# why\n{}", policy("rate=r  # so")), &[]),
        (
            "pool \"a\" { ids = [\"x\", \"y\"] }\npool \"b\" {}".into(),
            "pool \"b\" {}\npool \"a\" { ids = [\"y\", \"x\"] }".into(),
            &[],
        ),
        ("pool \"a\" { cells = [1, 2, 3] }".into(), "pool \"a\" { cells = [3, 1..2] }".into(), &[]),
        ("pool \"a\" { ids = \"x\" }".into(), "pool \"a\" { ids = [\"x\"] }".into(), &[]),
        (format!("{POOLS}{orders}"), format!("{orders}{POOLS}").replace('\n', "\r\n"), &[]),
    ];
    assert!(pairs.len() >= 20);
    for (old, new, expected) in &pairs {
        assert_eq!(&changes(old, new), expected, "{old}\n->\n{new}");
    }
}

#[test]
fn moves_between_files_are_no_change() {
    let orders = route("orders", "classes = \"unit-order\"\n  pool = \"north\"");
    let one = set(&format!("{POOLS}{orders}{}", policy("rate = 30 units/s")));
    let three = sets(&[
        ("site.fb", "include \"quotas.fb\"\ninclude \"routes.fb\"\n"),
        ("routes.fb", &format!("include \"pools.fb\"\n{orders}")),
        ("quotas.fb", &policy("rate = 30 units/s")),
        ("pools.fb", POOLS),
    ]);
    assert_eq!(diff(&one, &three), []);
    assert_eq!(diff(&three, &one), []);
}

#[test]
fn an_order_of_routes_counts_where_it_changes_which_comes_first() {
    let orders = route("orders", "classes = \"unit-order\"\n  pool = \"north\"");
    let reads = route("reads", "classes = \"price-read\"\n  pool = \"all\"");
    let some = route("some", "customers = 1..99\n  pool = \"all\"");
    let same = route("same", "plans = \"premium\"\n  pool = \"all\"");
    let of = |routes: &[&String]| {
        format!("{POOLS}{}", routes.iter().map(|text| text.as_str()).collect::<String>())
    };
    // These have no request in common.
    assert_eq!(changes(&of(&[&orders, &reads]), &of(&[&reads, &orders])), [""; 0]);
    // These do the same with those that they have.
    assert_eq!(changes(&of(&[&some, &same]), &of(&[&same, &some])), [""; 0]);
    let text = "route `some`: now comes before route `orders`, for requests that both hold for";
    assert_eq!(changes(&of(&[&orders, &reads, &some]), &of(&[&some, &orders, &reads])), [text]);
    // A third one takes what both hold for, before and now.
    let all_of_it = route("first", "customers = 1..200\n  pool = \"all\"");
    let old = of(&[
        &all_of_it,
        &orders,
        &some.replace("1..99", "1..99, 300").replace("1..99, 300", "[1..99, 300]"),
    ]);
    let swapped = of(&[&all_of_it, &some.replace("1..99", "[1..99, 300]"), &orders]);
    assert_eq!(changes(&old, &swapped).len(), 1, "customer 300 goes elsewhere");
}

#[test]
fn an_order_behind_a_third_route_is_no_change() {
    let of = |names: [&str; 3]| -> String {
        let text = |name: &str| match name {
            "wide" => route("wide", "customers = 1..99\n  pool = \"all\""),
            "orders" => route("orders", "classes = \"unit-order\"\n  pool = \"north\""),
            _ => route("some", "customers = [50..60, 500]\n  plans = \"premium\"\n  pool = \"all\""),
        };
        format!("{POOLS}{}", names.map(text).concat())
    };
    // Only customer 500 tells `orders` and `some` apart, whatever `wide` takes before.
    let text = "route `some`: now comes before route `orders`, for requests that both hold for";
    assert_eq!(changes(&of(["wide", "orders", "some"]), &of(["wide", "some", "orders"])), [text]);
}

#[test]
fn comparisons_are_data_too() {
    let changes = diff(&set(&policy("rate = 30 units/s")), &set(&policy("rate = 30_000 units/s")));
    let expected = serde_json::json!([{
        "what": "changed", "kind": "quota policy", "name": "premium", "key": "rate",
        "old": "30 units/s", "new": "30_000 units/s", "factor": 1000.0,
        "text": "quota policy `premium`: rate 30 units/s -> 30 000 units/s, 1000 times",
    }]);
    assert_eq!(serde_json::to_value(changes).unwrap(), expected);
}

fn big(old: &str, new: &str) -> Vec<String> {
    let platform = platform();
    big_changes(&set(old), &set(new), Some(&platform)).iter().map(|warning| warning.one_line()).collect()
}

#[test]
fn a_change_by_a_factor_of_ten_wants_to_be_meant() {
    let help = "(help: `--accept` says that it is meant)";
    let told = |text: &str| vec![format!("{text} {help}")];
    let (one, ten) = (policy("rate = 1 units/s"), policy("rate = 10 units/s"));
    assert_eq!(
        big(&one, &ten),
        told("site.fb:3:10: warning: quota policy `premium`: rate 1 units/s -> 10 units/s, 10 times")
    );
    assert_eq!(
        big(&ten, &one),
        told("site.fb:3:10: warning: quota policy `premium`: rate 10 units/s -> 1 units/s, 1/10 of it")
    );
    assert_eq!(big(&one, &policy("rate = 9.9 units/s")), [""; 0]);
    // What is written in another unit is the same.
    assert_eq!(big(&policy("rate = 0.7 units/min"), &policy("rate = 7 units/min")).len(), 1);
    let capacity = |text: &str| site("north", &format!("capacity = {text}"));
    assert_eq!(
        big(&capacity("600 requests/s"), &capacity("600 requests/min")),
        told("site.fb:3:14: warning: site `north`: capacity 600 requests/s -> 10 requests/s, 1/60 of it")
    );
    let bound =
        |n: u32| format!("{POOLS}{}", route("a", &format!("pool = \"all\"\n  most-out = {n} attempts")));
    assert_eq!(
        big(&bound(4), &bound(40)),
        told("site.fb:7:14: warning: route `a`: most-out 4 attempts -> 40 attempts, 10 times")
    );
}

#[test]
fn big_changes_of_quotas_go_by_plan_and_count_what_the_platform_grants() {
    // Premium customers are granted 30 units/s.
    let tight = policy("rate = 3 units/s");
    let come = "quota policy `premium`: rate 30 units/s -> 3 units/s, 1/10 of it";
    let gone = "quota policy `premium` is gone: rate of plan `premium` 3 units/s -> 30 units/s, 10 times";
    assert!(big("", &tight)[0].contains(come), "{:?}", big("", &tight));
    assert!(
        big(&tight, "")[0].starts_with(&format!("site.fb:1:1: warning: {gone}")),
        "{:?}",
        big(&tight, "")
    );
    // Under another name it is still the policy of this plan.
    let renamed = policy("rate = 30 units/s").replacen("premium", "night", 1);
    assert!(big(&tight, &renamed)[0].contains("quota policy `night`: rate 3 units/s -> 30 units/s, 10 times"));
}

#[test]
fn what_is_in_force_is_shown_with_where_it_comes_from() {
    let site = format!("include \"names.fb\"\n{POOLS}{}", policy("rate = night"));
    let files = Memory::default()
        .with("site.fb", site)
        .with("names.fb", "# of the team\nlet night = 1_500 units/min\n");
    let platform = platform();
    let loaded = load(Path::new("site.fb"), &files, Some(&platform));
    let shown = show(&loaded.set.clone().unwrap(), Some(&platform));
    let expected = r#"# in force, from site.fb, names.fb

pool "north" {                                # site.fb:2:6
  zones = ["building-1", "building-2"]        # site.fb:3:11
  # machines: any (not set)
  # cells: any (not set)
  # ids: any (not set)
}

pool "all" {                                  # site.fb:5:6
  # zones: any (not set)
  # machines: any (not set)
  # cells: any (not set)
  # ids: any (not set)
}

quota policy "premium" {                      # site.fb:6:14
  plan = "premium"                            # site.fb:7:10
  rate = 25 units/s                           # site.fb:8:10, `night` of names.fb:2:13
  # burst: as the plan grants, 60 units (not set)
  # open: as the plan grants, no bound (not set)
}
"#;
    assert_eq!(shown, expected);
    // It is a file that means the same.
    assert_eq!(diff(&loaded.set.unwrap(), &set(&shown)), []);
}

#[test]
fn a_bound_of_each_gateway_is_shown_for_all() {
    let text = format!("{POOLS}{}", route("a", "pool = \"all\"\n  most-out = 40 attempts"));
    let shown = show(&set(&text), Some(&platform()));
    let line = shown.lines().find(|line| line.contains("most-out")).unwrap();
    assert_eq!(
        line,
        format!("{:<44}  # site.fb:7:14; 120 attempts from 3 gateways", "  most-out = 40 attempts")
    );
}

#[test]
fn a_plan_for_the_loss_of_a_site_is_shown_with_its_defaults() {
    let text = takeover("share = 60 %") + "shed \"reads\" { classes = \"price-read\" }\n";
    let shown = show(&set(&text), Some(&platform()));
    for line in [
        "  # capacity: not known (not set)",
        "  # headroom: 0 % (not set)",
        "  # ramp: 30 s (not set)",
        "  # told: nothing (not set)",
        "  share = 60 %                                # site.fb:6:11",
        "  # floor: 0 % (not set)",
    ] {
        assert!(shown.lines().any(|shown| shown == line), "{line} is not in\n{shown}");
    }
    assert_eq!(diff(&set(&text), &set(&shown)), []);
}
