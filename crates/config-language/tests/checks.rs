//! What is accepted, how the checker goes on behind mistakes, and its limits.

mod common;

use std::path::Path;

use common::{messages, platform, read, set};
use config_language::loader::Memory;
use config_language::model::Operators;
use config_language::{load, Severity, MOST_DEPTH, MOST_FILES, MOST_ITEMS};

fn checked(text: &str) -> Vec<String> {
    messages(&load(Path::new("site.fb"), &Memory::default().with("site.fb", text), Some(&platform())))
}

fn nothing() -> Vec<String> {
    Vec::new()
}

#[test]
fn a_whole_file_set_means_what_it_says() {
    let text = r#"
        let night = 25 units/s
        let ours = [building-two, "building-1"]
        let building-two = "building-2"
        pool "north" {
            zones = ours
            machines = "std-2core"
            cells = [7, 0..3, 4]
            ids = ["s-\"a\\"]
        }
        pool "all" {}
        route "orders" {
            classes = "unit-order"
            plans = ["premium", "standard"]
            customers = [1..99, 00000000000000fF, 1_000_000]
            pool = "north"
            fallback = "all"
            most-out = 40 attempts
        }
        quota policy "night" {
            plan = "premium"
            rate = night
            burst = 46.5 units
            open = 4attempts
        }
    "#;
    let set = set(text);
    let Operators { pools, routes, policies, .. } = &set.operators;
    let north = &pools[0];
    assert_eq!(north.name.value, "north");
    assert_eq!(north.zones.as_ref().unwrap().value, ["building-2", "building-1"]);
    assert_eq!(north.cells.as_ref().unwrap().value, [0..=4, 7..=7]);
    assert_eq!(north.ids.as_ref().unwrap().value, ["s-\"a\\"]);
    assert_eq!((&pools[1].zones, &pools[1].machines, &pools[1].cells), (&None, &None, &None));
    let orders = &routes[0];
    assert_eq!(orders.customers.as_ref().unwrap().value, [1..=99, 255..=255, 1_000_000..=1_000_000]);
    assert_eq!(orders.pool.value, "north");
    assert_eq!(orders.fallback.as_ref().unwrap().value, "all");
    assert_eq!(orders.most_out.as_ref().unwrap().value, 40);
    let night = &policies[0];
    let rate = night.rate.as_ref().unwrap();
    assert_eq!((rate.value, rate.origin.to_string()), (25.0, "site.fb:22:20".to_owned()));
    assert_eq!(night.burst.as_ref().unwrap().value, 46.5);
    assert_eq!(night.open.as_ref().unwrap().value, 4);
}

#[test]
fn units_of_rates_are_the_same_rate() {
    let rate = |text: &str| {
        let text = format!("quota policy \"a\" {{\n plan = \"p\"\n rate = {text}\n}}\n");
        set(&text).operators.policies[0].rate.as_ref().unwrap().value
    };
    assert_eq!([rate("0.5 units/s"), rate("30 units/min"), rate("1_800 units/h")], [0.5; 3]);
}

#[test]
fn signs_of_other_systems_change_nothing() {
    let plain = "pool \"north\" {\n  zones = [\"building-1\", \"building-2\"]\n}\n";
    let odd = "\u{FEFF}pool \"north\" {\r\n\tzones\t=\t[\"building-1\",\r\n\t\t\"building-2\"]\r\n}";
    let meaning = |text| set(text).operators.pools[0].zones.as_ref().unwrap().value.clone();
    assert_eq!(meaning(odd), meaning(plain));
    assert_eq!(set("").blocks.len(), 0);
    assert_eq!(set("# nothing").blocks.len(), 0);
}

#[test]
fn each_of_many_mistakes_is_told_once_and_the_rest_is_checked() {
    let text = "pool \"north\" {\n  zone = \"building-1\"\n  zones = \"moon\"\n  cells = 3 units\n}\n\
                route \"orders\" {\n  clases = \"unit-order\"\n  pool = \"nroth\"\n  most-out = 40\n}\n\
                quota policy \"night\" {\n  plan = \"premium\n  rate = 30/s\n  burst = 1,5 units\n}\n\
                pol \"x\" {\n  anything = goes\n}\n";
    assert_eq!(
        checked(text),
        [
            "site.fb:2:3: error: a pool has no key `zone` (help: did you mean `zones`?)",
            "site.fb:3:11: error: unknown zone \"moon\" (help: there is `building-1`, `building-2` and `building-3`)",
            "site.fb:4:11: error: `cells` takes whole numbers and ranges such as `0..3`, and `units` is a unit",
            "site.fb:7:3: error: a route has no key `clases` (help: did you mean `classes`?)",
            "site.fb:8:10: error: unknown pool \"nroth\" (help: did you mean `north`?)",
            "site.fb:9:14: error: `most-out` needs a unit: attempts (help: for example `40 attempts`)",
            "site.fb:12:10: error: the text that begins here has no closing quote",
            "site.fb:13:12: error: `30/s` does not say of what (help: write `30 units/s` if units are meant)",
            "site.fb:14:12: error: expected the end of the line, found `,` \
             (help: write `1.5`, or a list between `[` and `]`)",
            "site.fb:16:1: error: unknown block `pol` (help: did you mean `pool`?)",
        ]
    );
}

#[test]
fn what_could_not_be_read_is_not_missed_elsewhere() {
    // The pool and the name may stand in what cannot be read.
    let text =
        "include \"gone.fb\"\nroute \"a\" {\n  pool = \"north\"\n  after = \"b\"\n  most-out = bound\n}\n";
    assert_eq!(checked(text), ["site.fb:1:9: error: `gone.fb` cannot be included: there is no such file"]);
    let text = "pool north {\n  zones = \"building-1\"\n}\nroute \"a\" {\n  pool = \"north\"\n}\n";
    assert_eq!(checked(text).len(), 1);
    let text = "quota policy \"a\" {\n  plan \"premium\"\n  rate = 20 units/s\n}\n";
    assert_eq!(checked(text), ["site.fb:2:8: error: expected `=`, found \"premium\""]);
}

#[test]
fn the_place_is_shown_and_both_places_where_there_are_two() {
    let files = Memory::default()
        .with("site.fb", "include \"a.fb\"\npool \"north\" {}\n")
        .with("a.fb", "# ours\npool \"north\" {}\n");
    let loaded = load(Path::new("site.fb"), &files, None);
    let expected = "error: pool \"north\" is there twice, first at a.fb:2:6\n --> site.fb:2:6\n  |\n\
                    2 | pool \"north\" {}\n  |      ^^^^^^^\n ::: a.fb:2:6\n  |\n2 | pool \"north\" {}\n  |      \
                    ------- first here\n";
    assert_eq!(loaded.diagnostics[0].rendered(), expected);
    assert_eq!(loaded.diagnostics[0].code, "twice");
}

#[test]
fn pools_may_be_empty_and_hosts_may_match_two() {
    let text = "pool \"a\" { zones = \"building-1\" }\npool \"b\" { machines = \"std-4core\" }\n\
                pool \"nobody-yet\" { cells = 4_000_000_000 }\n";
    assert_eq!(checked(text), nothing());
}

#[test]
fn a_narrower_route_before_a_wider_one_is_plainly_meant() {
    let pools = "pool \"a\" {}\npool \"b\" {}\n";
    let narrow = "route \"one\" {\n  customers = 7\n  pool = \"a\"\n}\n";
    let wide = "route \"rest\" {\n  pool = \"b\"\n}\n";
    assert_eq!(checked(&format!("{pools}{narrow}{wide}")), nothing());
    let premium = "route \"premium\" {\n  plans = \"premium\"\n  pool = \"b\"\n}\n";
    assert_eq!(checked(&format!("{pools}{narrow}{premium}{wide}")).len(), 1);
    let meant = premium.replace("pool", "after = \"one\"\n  pool");
    assert_eq!(checked(&format!("{pools}{narrow}{meant}{wide}")), nothing());
    let same_end = premium.replace("\"b\"", "\"a\"");
    assert_eq!(checked(&format!("{pools}{narrow}{same_end}{wide}")), nothing());
}

#[test]
fn a_narrower_range_before_a_wider_one_is_meant_too() {
    let pools = "pool \"a\" {}\npool \"b\" {}\n";
    let route = |name: &str, settings: &str| format!("route \"{name}\" {{\n  {settings}\n}}\n");
    let one = route("one", "customers = [7, 50..60]\n  plans = \"premium\"\n  pool = \"a\"");
    let some = route("some", "customers = 1..99\n  pool = \"b\"");
    assert_eq!(checked(&format!("{pools}{one}{some}")), nothing());
    let out = some.replace("1..99", "1..55");
    assert_eq!(checked(&format!("{pools}{one}{out}")).len(), 1);
}

#[test]
fn routes_that_name_all_classes_are_for_any_class() {
    let pools = "pool \"a\" {}\npool \"b\" {}\n";
    let all =
        "route \"all\" {\n  classes = [\"price-read\", \"unit-order\", \"report\"]\n  pool = \"a\"\n}\n";
    let rest = "route \"rest\" {\n  pool = \"b\"\n}\n";
    let text = format!("{pools}{all}{rest}");
    assert!(checked(&text)[0].contains("route \"rest\" never comes to be tried"), "{:?}", checked(&text));
    // Without a platform there may be other classes.
    assert_eq!(messages(&read(&text)), nothing());
}

#[test]
fn without_a_platform_only_the_files_are_checked() {
    let text = "pool \"a\" { zones = \"moon\" }\nquota policy \"p\" {\n  plan = \"any\"\n  rate = 9_999 units/s\n}\n";
    assert_eq!(messages(&read(text)), nothing());
    let text = "quota policy \"p\" {\n  plan = \"any\"\n  rate = 1 units/s\n  burst = 3_601 units\n}\n";
    let told = messages(&read(text));
    let expected =
        "a burst of 3601 units is more than an hour of 1 units/s: a full store bounds nothing for longer";
    assert_eq!(told, [format!("site.fb:4:11: warning: {expected}")]);
}

#[test]
fn a_policy_is_measured_by_what_holds_together() {
    // The platform's burst of 60 units goes with the policy's rate, and is the platform's affair under 6 units.
    let text = |rate: &str| format!("quota policy \"p\" {{\n  plan = \"premium\"\n  rate = {rate}\n}}\n");
    assert_eq!(checked(&text("60 units/h")), nothing());
    assert!(checked(&text("59 units/h"))[0].contains("warning: a burst of 60 units"));
    // No bound on attempts is granted to premium customers: any bound tightens that.
    let open = "quota policy \"p\" {\n  plan = \"premium\"\n  open = 1_000 attempts\n}\n";
    assert_eq!(checked(open), nothing());
}

#[test]
fn warnings_do_not_keep_a_file_set_from_being_used() {
    let files = Memory::default().with("site.fb", "pool \"a\" { cells = [1, 1] }\n");
    let loaded = load(Path::new("site.fb"), &files, None);
    assert_eq!(loaded.diagnostics[0].severity, Severity::Warning);
    assert!(loaded.set.is_some() && loaded.first_error().is_none());
}

fn chain(length: usize) -> Memory {
    (0..length).fold(Memory::default(), |files, n| {
        let text = if n + 1 < length { format!("include \"{}.fb\"\n", n + 1) } else { String::new() };
        files.with(format!("{n}.fb"), text)
    })
}

#[test]
fn includes_have_a_depth_and_a_number() {
    let deep = |length| messages(&load(Path::new("0.fb"), &chain(length), None));
    assert_eq!(deep(MOST_DEPTH), nothing());
    assert_eq!(deep(MOST_DEPTH + 1), ["15.fb:1:9: error: includes go 16 files deep at the most"]);
    let wide = |count: usize| {
        let text: String = (1..count).map(|n| format!("include \"{n}.fb\"\n")).collect();
        let files = (1..count).fold(Memory::default(), |files, n| files.with(format!("{n}.fb"), ""));
        messages(&load(Path::new("0.fb"), &files.with("0.fb", text), None))
    };
    assert_eq!(wide(MOST_FILES), nothing());
    assert_eq!(wide(MOST_FILES + 3), ["0.fb:100:9: error: a file set has 100 files at the most"]);
}

#[test]
fn a_file_of_names_may_be_included_by_several_files() {
    let files = Memory::default()
        .with("site.fb", "include \"a.fb\"\ninclude \"b.fb\"\n")
        .with("a.fb", "include \"names.fb\"\npool \"a\" { zones = here }\n")
        .with("b.fb", "include \"names.fb\"\npool \"b\" { zones = here }\n")
        .with("names.fb", "let here = \"building-1\"\n");
    let loaded = load(Path::new("site.fb"), &files, None);
    assert_eq!(messages(&loaded), nothing());
    let files: Vec<String> = loaded.files.iter().map(|file| file.display().to_string()).collect();
    assert_eq!(files, ["site.fb", "a.fb", "names.fb", "b.fb"]);
}

#[test]
fn lists_that_multiply_through_names_end_at_their_bound() {
    let mut text = "let a0 = [1, 2, 3, 4, 5, 6, 7, 8]\nlet e0 = []\n".to_owned();
    for n in 1..12 {
        let before = n - 1;
        text += &format!("let a{n} = [{}]\n", vec![format!("a{before}"); 8].join(", "));
        text += &format!("let e{n} = [{}]\n", vec![format!("e{before}"); 8].join(", "));
    }
    text += "pool \"a\" { cells = a11 }\npool \"b\" { cells = e11 }\n";
    let loaded = read(&text);
    let reason = format!("error: a list has {MOST_ITEMS} items at the most, with those of its names");
    assert_eq!(messages(&loaded), [format!("site.fb:25:20: {reason}"), format!("site.fb:26:20: {reason}")]);
    assert!(loaded.steps < 60_000, "{}", loaded.steps);
}

#[test]
fn all_lists_together_have_a_bound() {
    let list: Vec<String> = (0..9_000).map(|n| n.to_string()).collect();
    let mut text = format!("let many = [{}]\n", list.join(", "));
    (0..120).for_each(|n| text += &format!("pool \"p{n}\" {{ cells = many }}\n"));
    let told = messages(&read(&text));
    assert_eq!(told, ["site.fb:113:23: error: the lists of a file set have 1000000 items at the most"]);
}

#[test]
fn a_plan_for_the_loss_of_a_site_means_what_it_says() {
    let text = "site \"a\" {\n  zones = [\"building-1\", \"building-2\"]\n  capacity = 36_000 requests/min\n  \
                load = 400 requests/s\n  headroom = 10 %\n  ramp = 45 s\n}\nsite \"b\" { zones = \"building-3\" }\n\
                takeover \"x\" {\n  lost = \"a\"\n  by = \"b\"\n  share = 60 %\n}\n\
                shed \"reads\" {\n  classes = \"price-read\"\n  plans = \"standard\"\n  floor = 5 %\n}\n";
    let Operators { sites, takeovers, sheds, .. } = set(text).operators;
    let [a, b] = &sites[..] else { panic!("{sites:?}") };
    assert_eq!(a.zones.value, ["building-1", "building-2"]);
    let figure = |at: &Option<config_language::model::At<f64>>| at.as_ref().map(|at| at.value);
    assert_eq!([&a.capacity, &a.load, &a.headroom].map(figure), [Some(600.0), Some(400.0), Some(0.1)]);
    assert_eq!(a.ramp.as_ref().unwrap().value, 45_000_000_000);
    assert_eq!((&b.capacity, &b.ramp, &b.told), (&None, &None, &None));
    let x = &takeovers[0];
    assert_eq!((x.lost.value.as_str(), x.by.value.as_str(), figure(&x.share)), ("a", "b", Some(0.6)));
    let reads = &sheds[0];
    assert_eq!(reads.classes.as_ref().unwrap().value, ["price-read"]);
    assert_eq!(reads.plans.as_ref().unwrap().value, ["standard"]);
    assert_eq!(figure(&reads.floor), Some(0.05));
}

#[test]
fn plans_for_the_loss_of_a_site_may_look_like_this() {
    let sites = |count: usize| -> String {
        (1..=count).map(|n| format!("site \"s{n}\" {{ zones = \"building-{n}\" }}\n")).collect()
    };
    let takeover = |name: &str, lost: &str, by: &str, share: &str| {
        format!("takeover \"{name}\" {{\n  lost = \"{lost}\"\n  by = \"{by}\"\n  {share}\n}}\n")
    };
    let mutual = |share: &str| takeover("x", "s1", "s2", share) + &takeover("y", "s2", "s1", "");
    let shed = |name: &str, settings: &str| format!("shed \"{name}\" {{\n  {settings}\n}}\n");
    let ring =
        takeover("x", "s1", "s2", "") + &takeover("y", "s2", "s3", "") + &takeover("z", "s3", "s1", "");
    let cases = [
        // Of two sites there is nobody else; a part that is left open goes to the third.
        sites(2) + &mutual(""),
        sites(3) + &mutual("share = 90 %"),
        // Of a loss of two, one of a ring stands.
        sites(3) + &ring,
        sites(3)
            + &takeover("x", "s1", "s2", "share = 33.3 %")
            + &takeover("y", "s1", "s3", "share = 66.7 %"),
        // Cheap ones first, and a shed that is partly taken by an earlier one.
        sites(1)
            + &shed("x", "classes = \"price-read\"")
            + &shed("y", "plans = \"standard\"")
            + &shed("z", ""),
    ];
    for text in &cases {
        assert_eq!(checked(text), nothing(), "{text}");
    }
    // Without a platform there may be other classes, and nothing is known of worth.
    let all = shed("x", "classes = [\"price-read\", \"unit-order\", \"report\"]") + &shed("y", "");
    assert_eq!(messages(&read(&(sites(1) + &all))), nothing());
    assert_eq!(checked(&(sites(1) + &all)).len(), 1);
}

#[test]
fn on_the_night_a_taker_may_be_told_lost() {
    let text = "site \"a\" { zones = \"building-1\" }\nsite \"b\" {\n  zones = \"building-2\"\n  told = \"lost\"\n}\n\
                takeover \"x\" {\n  lost = \"a\"\n  by = \"b\"\n}\n";
    let reason =
        "`by` is site \"b\", which is told lost at site.fb:4:10: its share goes where waits are least";
    let told = checked(text);
    assert_eq!(told.len(), 2, "{told:?}");
    assert_eq!(told[1], format!("site.fb:8:8: warning: {reason}"));
}

#[test]
fn sites_and_sheds_have_a_number() {
    let sites = |count: usize| {
        (0..count).map(|n| format!("site \"s{n}\" {{ zones = \"z{n}\" }}\n")).collect::<String>()
    };
    let sheds = |count: usize| {
        (0..count).map(|n| format!("shed \"s{n}\" {{ plans = \"p{n}\" }}\n")).collect::<String>()
    };
    assert_eq!(messages(&read(&(sites(63) + &sheds(64)))), nothing());
    assert_eq!(
        messages(&read(&sites(66))),
        ["site.fb:64:6: error: site \"s63\" is one too many: at most 63 sites"]
    );
    let told = messages(&read(&(sites(1) + &sheds(66))));
    assert_eq!(told, ["site.fb:66:6: error: shed \"s64\" is one too many: at most 64 sheds"]);
}

#[test]
fn sheds_of_very_many_classes_and_plans_are_not_compared_for_ever() {
    let names = |letter: char| (0..1100).map(|n| format!("\"{letter}{n}\",")).collect::<String>();
    let text = format!(
        "site \"a\" {{ zones = \"z\" }}\nshed \"x\" {{ plans = \"p1\" }}\nshed \"y\" {{\n  classes = [{}]\n  plans = [{}]\n}}\n",
        names('c'),
        names('p')
    );
    let told = messages(&read(&text));
    assert_eq!(told.len(), 1, "{told:?}");
    assert!(told[0].contains("from here on they were not compared"), "{told:?}");
}
