use super::*;
use config_language::{load, loader::Memory};

fn operators(text: &str) -> Operators {
    load("site.fb".as_ref(), &Memory::default().with("site.fb", text), None).set.unwrap().operators
}

fn route(name: &str, pool: &str) -> String {
    format!("route \"{name}\" {{\n  customers = 1..9\n  pool = \"{pool}\"\n  most-out = 5 attempts\n}}\n")
}

fn router(text: &str) -> RequestRouter {
    let site = PlatformSettings::parse(&crate::config::sample("safe", 1_000_000_000, 1_000_000_000)).unwrap();
    RequestRouter::new(Arc::new(site), &operators(text)).unwrap()
}

fn request() -> Request {
    Request { customer: policy::api::CustomerId(1), ..Request::default() }
}

fn number(router: &mut RequestRouter) -> u32 {
    let route = router.select(&request(), SiteSet::ALL);
    router.release(&route);
    route.limit.unwrap().route
}

#[test]
fn a_route_keeps_its_number_by_its_name_and_no_other_route_gets_it() {
    let pool = "pool \"all\" {}\n";
    let mut router = router(&format!("{pool}{}", route("a", "all")));
    let first = number(&mut router);
    let other =
        format!("{pool}route \"before\" {{\n  customers = 77\n  pool = \"all\"\n}}\n{}", route("a", "all"));
    router.reload(&operators(&other)).unwrap();
    assert_eq!(number(&mut router), first);
    router.reload(&operators(&format!("{pool}{}", route("b", "all")))).unwrap();
    assert_ne!(number(&mut router), first);
}

#[test]
fn a_pool_is_kept_for_requests_in_flight_and_no_longer() {
    let mut router = router(&format!("pool \"old\" {{}}\n{}", route("a", "old")));
    let held = router.select(&request(), SiteSet::ALL);
    let again = router.select(&request(), SiteSet::ALL);
    router.release(&again);
    let next = operators(&format!("pool \"new\" {{}}\n{}", route("a", "new")));
    router.reload(&next).unwrap();
    let host = HostAttributes { id: "s-1", zone: "a", machine_type: "m", cell: 0 };
    assert_ne!(router.pools_of(&host) & held.pools, 0, "its request may still go there");
    router.release(&held);
    router.reload(&next).unwrap();
    assert_eq!(router.pools_of(&host).count_ones(), 1, "nobody holds it any more");
}

#[test]
fn an_error_changes_nothing() {
    let mut router = router(&format!("pool \"all\" {{}}\n{}", route("a", "all")));
    let before = number(&mut router);
    let policy = "quota policy \"q\" {\n  plan = \"nobody\"\n  rate = 1 units/s\n}\n";
    let broken = operators(&format!("{policy}pool \"all\" {{}}\n{}", route("b", "all")));
    let error = router.reload(&broken).unwrap_err().to_string();
    assert!(error.starts_with("site.fb:2:10"), "{error}");
    assert_eq!((number(&mut router), router.len()), (before, 1));
}
