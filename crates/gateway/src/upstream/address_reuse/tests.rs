use super::*;

/// Port, start and whether the latest list names it, of each host; numbers of those that are superseded.
type Case<'a> = (&'a [(u16, u64, bool)], &'a [u64]);

#[test]
fn a_host_is_superseded_by_a_later_one_at_its_address() {
    let cases: [Case; 7] = [
        (&[(1, 0, false), (2, 5, true)], &[]),
        (&[(1, 0, false), (1, 5, true)], &[0]),
        (&[(1, 5, true), (1, 0, false)], &[1]),
        // An entry of an older process is told late.
        (&[(1, 5, false), (1, 0, true)], &[1]),
        (&[(1, 0, false), (1, 0, true)], &[0]),
        (&[(1, 0, true), (1, 0, true)], &[]),
        (&[(1, 3, false), (1, 4, true), (1, 5, true), (2, 1, true)], &[0, 1]),
    ];
    for (hosts, expected) in cases {
        let claims: Vec<AddressClaim> = (0..)
            .zip(hosts)
            .map(|(number, (port, started_at_ms, is_latest))| AddressClaim {
                host: HostId(number),
                address: SocketAddr::from(([127, 0, 0, 1], *port)),
                started_at_ms: *started_at_ms,
                is_latest: *is_latest,
            })
            .collect();
        let expected: Vec<HostId> = expected.iter().copied().map(HostId).collect();
        assert_eq!(superseded(&claims), expected, "{hosts:?}");
    }
}
