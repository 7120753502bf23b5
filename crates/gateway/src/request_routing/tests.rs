use super::*;
use config_language::{load, loader::Memory};

fn operators(text: &str) -> Operators {
    load("site.fb".as_ref(), &Memory::default().with("site.fb", text), None).set.unwrap().operators
}

fn route(name: &str, pool: &str) -> String {
    format!("route \"{name}\" {{\n  customers = 1..9\n  pool = \"{pool}\"\n  most-out = 5 attempts\n}}\n")
}

fn router(text: &str) -> RequestRouter {
    let platform =
        PlatformSettings::parse(&crate::config::sample("safe", 1_000_000_000, 1_000_000_000)).unwrap();
    RequestRouter::new(Arc::new(platform), &operators(text)).unwrap()
}

fn request() -> Request {
    Request { customer: policy::api::CustomerId(1), ..Request::default() }
}

fn route_number(router: &mut RequestRouter) -> u32 {
    let route = router.select(&request(), SiteSet::ALL);
    router.release(&route);
    route.limit.unwrap().route
}

#[test]
fn a_route_keeps_its_number_under_the_same_name_and_a_new_route_gets_another() {
    let pool = "pool \"all\" {}\n";
    let mut router = router(&format!("{pool}{}", route("a", "all")));
    let first = route_number(&mut router);
    let other =
        format!("{pool}route \"before\" {{\n  customers = 77\n  pool = \"all\"\n}}\n{}", route("a", "all"));
    router.reload(&operators(&other)).unwrap();
    assert_eq!(route_number(&mut router), first);
    router.reload(&operators(&format!("{pool}{}", route("b", "all")))).unwrap();
    assert_ne!(route_number(&mut router), first);
}

#[test]
fn a_removed_pool_is_kept_while_requests_in_flight_use_it() {
    let mut router = router(&format!("pool \"old\" {{}}\n{}", route("a", "old")));
    let in_flight = router.select(&request(), SiteSet::ALL);
    let released = router.select(&request(), SiteSet::ALL);
    router.release(&released);
    let next = operators(&format!("pool \"new\" {{}}\n{}", route("a", "new")));
    router.reload(&next).unwrap();
    let host = HostAttributes { id: "s-1", zone: "a", machine_type: "m", cell: 0 };
    assert_ne!(
        router.pools_of(&host) & in_flight.pools,
        0,
        "a request in flight may still be forwarded to the old pool"
    );
    router.release(&in_flight);
    router.reload(&next).unwrap();
    assert_eq!(router.pools_of(&host).count_ones(), 1, "no request in flight uses the old pool");
}

#[test]
fn an_invalid_reload_changes_nothing() {
    let mut router = router(&format!("pool \"all\" {{}}\n{}", route("a", "all")));
    let before = route_number(&mut router);
    let policy = "quota policy \"q\" {\n  plan = \"nobody\"\n  rate = 1 units/s\n}\n";
    let invalid = operators(&format!("{policy}pool \"all\" {{}}\n{}", route("b", "all")));
    let error = router.reload(&invalid).unwrap_err().to_string();
    assert!(error.starts_with("site.fb:2:10"), "{error}");
    assert_eq!((route_number(&mut router), router.len()), (before, 1));
}
