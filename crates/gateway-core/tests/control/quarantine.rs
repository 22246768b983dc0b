//! Work that ends back ends: which machines know of it, and for how long.

use drumshore_gateway_core::{
    Command, FingerprintEvent, FingerprintInput, FingerprintKey, FingerprintReport,
    FingerprintSuspicion, RequestFingerprint,
};

use super::*;

/// The address at which a router links to each machine, and the number of its link there.
const ROUTER: &str = "10.0.1.1:80";
const LINK: ConnectionId = ConnectionId(1);
const OTHER_LINK: ConnectionId = ConnectionId(2);
/// How long work stays quarantined.
const QUARANTINE: Duration = Duration::from_secs(600);

fn fingerprint(number: u8) -> RequestFingerprint {
    FingerprintKey::generate(1).identify(&FingerprintInput {
        body: &[number],
        ..FingerprintInput::default()
    })
}

fn ended(fingerprint: RequestFingerprint, back_end: u32, age: Duration) -> FingerprintReport {
    FingerprintReport {
        fingerprint,
        age_ms: age.as_millis() as u32,
        event: FingerprintEvent::BackEndCrashed {
            back_end,
            service_time_ms: 50,
        },
    }
}

/// Three back ends that ended a second apart, the last one now.
fn three_ends(fingerprint: RequestFingerprint) -> Vec<FingerprintReport> {
    let crashes = (1..=3).map(|number| ended(fingerprint, number, SECOND * (3 - number)));
    crashes.collect()
}

fn report(cluster: &mut Cluster, machine: Ipv4Addr, reports: &[FingerprintReport]) {
    let now = cluster.now;
    let message = Message::FingerprintReports(List::new(reports.to_vec()));
    cluster.core(machine).on_router(now, LINK, message);
    cluster.settle();
}

fn linked(founders: u8) -> Cluster {
    let mut cluster = elected(founders);
    for number in 1..=founders {
        cluster.link_router(address(number), LINK, ROUTER);
    }
    cluster
}

/// What a router was told of the work last, over a link to a machine.
fn told(
    cluster: &Cluster,
    machine: Ipv4Addr,
    link: ConnectionId,
    fingerprint: RequestFingerprint,
) -> Option<u8> {
    let to_it = cluster.to_routers.iter().rev();
    let mut to_it = to_it.filter(|(from, to, _)| *from == machine && *to == link);
    to_it.find_map(|(.., message)| match message {
        Message::FingerprintSuspicions(list) => suspected(&list.items, fingerprint),
        _ => None,
    })
}

fn suspected(suspicions: &[FingerprintSuspicion], fingerprint: RequestFingerprint) -> Option<u8> {
    let mut suspicions = suspicions.iter();
    let found = suspicions.find(|suspicion| suspicion.fingerprint == fingerprint);
    found.map(|suspicion| suspicion.crashes)
}

fn is_quarantined_at(cluster: &mut Cluster, machine: Ipv4Addr) -> bool {
    cluster.core(machine).state().is_quarantined(fingerprint(1))
}

fn others_than(leader: Ipv4Addr, founders: u8) -> Vec<Ipv4Addr> {
    let all = (1..=founders).map(address);
    all.filter(|at| *at != leader).collect()
}

#[test]
fn ends_that_different_routers_saw_add_up_to_a_verdict() {
    let mut cluster = linked(3);
    let leader = cluster.leader().unwrap();
    cluster.link_router(leader, OTHER_LINK, "10.0.1.2:80");
    report(&mut cluster, leader, &[ended(fingerprint(1), 1, SECOND)]);
    cluster.run(Duration::from_millis(200));
    assert_eq!(
        told(&cluster, leader, OTHER_LINK, fingerprint(1)),
        None,
        "one end says nothing"
    );
    let now = cluster.now;
    let second =
        Message::FingerprintReports(List::new(vec![ended(fingerprint(1), 2, Duration::ZERO)]));
    cluster.core(leader).on_router(now, OTHER_LINK, second);
    cluster.run(Duration::from_millis(200));
    assert_eq!(told(&cluster, leader, LINK, fingerprint(1)), Some(2));
    assert!(!is_quarantined_at(&mut cluster, leader));
    report(
        &mut cluster,
        leader,
        &[ended(fingerprint(1), 3, Duration::ZERO)],
    );
    cluster.run(Duration::from_millis(200));
    for number in 1..=3 {
        assert!(is_quarantined_at(&mut cluster, address(number)));
    }
}

/// Any machine proposes: the router that saw the third end may be cut off from the leader.
#[test]
fn a_follower_that_heard_alone_brings_the_verdict_about() {
    let mut cluster = linked(3);
    let leader = cluster.leader().unwrap();
    let follower = others_than(leader, 3)[0];
    report(&mut cluster, follower, &three_ends(fingerprint(1)));
    cluster.run(SECOND);
    assert!(is_quarantined_at(&mut cluster, leader));
}

#[test]
fn routers_are_told_while_no_majority_is_left() {
    let mut cluster = linked(5);
    let leader = cluster.leader().unwrap();
    let others = others_than(leader, 5);
    for lost in [leader, others[0], others[1]] {
        cluster.kill(lost);
    }
    cluster.run(2 * SECOND);
    report(&mut cluster, others[2], &three_ends(fingerprint(1)));
    cluster.run(Duration::from_millis(200));
    assert_eq!(told(&cluster, others[2], LINK, fingerprint(1)), Some(3));
    assert!(!is_quarantined_at(&mut cluster, others[2]));
}

#[test]
fn what_was_counted_outlasts_the_leader() {
    let mut cluster = linked(3);
    let leader = cluster.leader().unwrap();
    for number in 1..=3 {
        let two = &three_ends(fingerprint(1))[..2];
        report(&mut cluster, address(number), two);
    }
    cluster.kill(leader);
    cluster.run(3 * SECOND);
    let successor = cluster.leader().unwrap();
    report(
        &mut cluster,
        successor,
        &[ended(fingerprint(1), 9, Duration::ZERO)],
    );
    cluster.run(SECOND);
    assert!(is_quarantined_at(&mut cluster, successor));
}

#[test]
fn a_verdict_outlasts_a_loss_of_power_everywhere_and_a_late_router_hears_it() {
    let mut cluster = linked(3);
    let leader = cluster.leader().unwrap();
    report(&mut cluster, leader, &three_ends(fingerprint(1)));
    cluster.run(SECOND);
    for number in 1..=3 {
        cluster.kill(address(number));
    }
    for number in 1..=3 {
        cluster.start(address(number));
    }
    cluster.run(3 * SECOND);
    let leader = cluster.leader().unwrap();
    assert!(is_quarantined_at(&mut cluster, leader));
    let changes = cluster.core(leader).state().changes_since(0, |_| 0);
    assert_eq!(
        changes.quarantine.items[0].fingerprints.items,
        [fingerprint(1)]
    );
}

#[test]
fn a_router_that_links_later_is_told_what_is_suspected() {
    let mut cluster = linked(3);
    let leader = cluster.leader().unwrap();
    report(&mut cluster, leader, &three_ends(fingerprint(1))[..2]);
    cluster.run(Duration::from_millis(200));
    cluster.link_router(leader, OTHER_LINK, "10.0.1.2:80");
    assert_eq!(told(&cluster, leader, OTHER_LINK, fingerprint(1)), Some(2));
}

/// Requests that were beside the culprit when it ended back ends are innocent of these ends.
#[test]
fn a_verdict_relieves_the_work_that_was_beside_it() {
    let mut cluster = linked(3);
    let leader = cluster.leader().unwrap();
    let beside = [
        ended(fingerprint(2), 1, 2 * SECOND),
        ended(fingerprint(2), 2, SECOND),
    ];
    report(&mut cluster, leader, &beside);
    cluster.run(Duration::from_millis(200));
    assert_eq!(told(&cluster, leader, LINK, fingerprint(2)), Some(2));
    report(&mut cluster, leader, &three_ends(fingerprint(1)));
    cluster.run(SECOND);
    assert_eq!(told(&cluster, leader, LINK, fingerprint(2)), Some(0));
    report(
        &mut cluster,
        leader,
        &[ended(fingerprint(2), 3, Duration::ZERO)],
    );
    report(
        &mut cluster,
        leader,
        &[ended(fingerprint(2), 7, Duration::ZERO)],
    );
    cluster.run(SECOND);
    assert_eq!(
        told(&cluster, leader, LINK, fingerprint(2)),
        Some(0),
        "one end is left"
    );
}

#[rstest]
#[case::it_ran_to_its_end(Duration::ZERO, true)]
#[case::its_time_is_over(QUARANTINE, false)]
fn quarantined_work_is_released(#[case] after: Duration, #[case] completed: bool) {
    let mut cluster = linked(3);
    let leader = cluster.leader().unwrap();
    report(&mut cluster, leader, &three_ends(fingerprint(1)));
    cluster.run(SECOND);
    assert!(is_quarantined_at(&mut cluster, leader));
    if completed {
        let report_of_end = FingerprintReport {
            fingerprint: fingerprint(1),
            age_ms: 0,
            event: FingerprintEvent::Completed,
        };
        report(&mut cluster, leader, &[report_of_end]);
    }
    cluster.run(after + SECOND);
    let leader = cluster.leader().unwrap();
    assert!(!is_quarantined_at(&mut cluster, leader));
    report(&mut cluster, leader, &three_ends(fingerprint(1))[..2]);
    cluster.run(SECOND);
    assert!(!is_quarantined_at(&mut cluster, leader), "counted anew");
}

/// Permits for one run, by the router's link.
fn permits(cluster: &Cluster) -> Vec<ConnectionId> {
    let sent = cluster.to_routers.iter();
    let permits = sent.filter(|(.., message)| *message == Message::PermitTrial(fingerprint(1)));
    permits.map(|(_, connection, _)| *connection).collect()
}

/// Routers keep asking, as they do.
fn run_asking(cluster: &mut Cluster, seconds: u32) {
    for sequence in 0..u64::from(seconds) {
        let now = cluster.now;
        for number in 1..=3 {
            let core = cluster.core(address(number));
            for link in [LINK, OTHER_LINK] {
                core.on_router(now, link, Message::Ping { sequence });
            }
        }
        cluster.run(SECOND);
    }
}

/// One trial at one router after 10 s, 60 s and 300 s, whoever leads; an innocent work is released by it.
#[test]
fn quarantined_work_is_tried_at_one_router_now_and_then() {
    let mut cluster = linked(3);
    for number in 1..=3 {
        cluster.link_router(address(number), OTHER_LINK, "10.0.1.2:80");
    }
    let leader = cluster.leader().unwrap();
    report(&mut cluster, leader, &three_ends(fingerprint(1)));
    run_asking(&mut cluster, 9);
    assert!(is_quarantined_at(&mut cluster, leader));
    assert_eq!(permits(&cluster).len(), 0);
    run_asking(&mut cluster, 6);
    assert_eq!(permits(&cluster).len(), 1);
    run_asking(&mut cluster, 40);
    assert_eq!(permits(&cluster).len(), 1);
    run_asking(&mut cluster, 10);
    assert_eq!(permits(&cluster).len(), 2);
    run_asking(&mut cluster, 230);
    assert_eq!(permits(&cluster).len(), 2);
    run_asking(&mut cluster, 10);
    assert_eq!(permits(&cluster).len(), 3);
    run_asking(&mut cluster, 200);
    assert_eq!(permits(&cluster).len(), 3);
}

/// A new leader does not permit again what its predecessor did.
#[test]
fn a_change_of_leader_brings_no_further_trial() {
    let mut cluster = linked(3);
    let leader = cluster.leader().unwrap();
    report(&mut cluster, leader, &three_ends(fingerprint(1)));
    for sequence in 0..16 {
        let now = cluster.now;
        for number in 1..=3 {
            let core = cluster.core(address(number));
            core.on_router(now, LINK, Message::Ping { sequence });
        }
        cluster.run(SECOND);
    }
    assert_eq!(permits(&cluster).len(), 1);
    cluster.kill(leader);
    cluster.run(3 * SECOND);
    assert!(cluster
        .leader()
        .is_some_and(|successor| successor != leader));
    assert_eq!(permits(&cluster).len(), 1);
}

/// What routers are told of ten thousand works costs each at most its part of the traffic.
#[test]
fn ten_thousand_works_are_told_within_the_budget() {
    const BYTES_PER_SECOND: usize = 700;
    let mut cluster = linked(1);
    let leader = cluster.leader().unwrap();
    let fingerprints = (0..10_000_u32).map(|number| {
        FingerprintKey::generate(2).identify(&FingerprintInput {
            body: &number.to_le_bytes(),
            ..FingerprintInput::default()
        })
    });
    let reports = fingerprints.flat_map(|fingerprint| {
        [1, 2].map(|back_end| ended(fingerprint, back_end, SECOND * (2 - back_end)))
    });
    let reports: Vec<FingerprintReport> = reports.collect();
    report(&mut cluster, leader, &reports);
    cluster.to_routers.clear();
    cluster.run(10 * SECOND);
    let told = cluster
        .to_routers
        .iter()
        .map(|(.., message)| match message {
            Message::FingerprintSuspicions(list) => list.items.len() * FingerprintSuspicion::BYTES,
            _ => 0,
        });
    let told: usize = told.sum();
    assert!(
        told > 0 && told <= 10 * BYTES_PER_SECOND,
        "{told} bytes in 10 s"
    );
}

/// The log also holds memberships, whose bytes are the random numbers of disks. Some of them read as a command:
/// in soak seed 99036 two verdicts on work that nobody had sent stood at positions 2 and 4 of the log.
#[test]
fn a_change_of_members_is_no_command() {
    let mut cluster = elected(5);
    let lost = address(5);
    for _ in 0..80 {
        cluster.wipe(lost);
        cluster.run(8 * SECOND);
        let leader = cluster.leader().unwrap();
        let state = cluster.core(leader).state();
        assert_eq!(state.quarantined().count(), 0);
    }
}

/// Beyond the bound the oldest verdict gives way, so that the newest always holds.
#[test]
fn verdicts_are_bounded() {
    let mut cluster = linked(1);
    let leader = cluster.leader().unwrap();
    for number in 0..1_100_u32 {
        let fingerprint = FingerprintKey::generate(3).identify(&FingerprintInput {
            body: &number.to_le_bytes(),
            ..FingerprintInput::default()
        });
        cluster.submit(leader, Command::Quarantine { fingerprint });
    }
    let state = cluster.core(leader).state();
    assert_eq!(state.quarantined().count(), 1_024);
}
