//! Tests the cached order against a full sort of the whole list, as an earlier version computed it for each
//! function.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Returns the whole order: every worker is scored and all are sorted.
fn full_sort(key: u64, list: &BTreeMap<u64, f64>) -> Vec<WorkerId> {
    let mut order: Vec<(f64, WorkerId)> = Vec::with_capacity(list.len());
    for (id, size) in list {
        let unit = ((mix(key ^ mix(*id)) >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
        order.push((-unit.ln() / size, WorkerId(*id)));
    }
    order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    order.into_iter().map(|(_, id)| id).collect()
}

/// Inverse of [`mix`], so that a test can choose the unit that a worker hashes to.
fn unmix(mut x: u64) -> u64 {
    let unshift = |x: u64, by: u32| (0..64 / by + 1).fold(x, |y, _| x ^ (y >> by));
    x = unshift(x, 31).wrapping_mul(0x3196_42b2_d24d_8ec3);
    x = unshift(x, 27).wrapping_mul(0x96de_1b17_3f11_9089);
    unshift(x, 30)
}

/// Returns the id of a worker whose hash with this key gives this unit, out of 2^53.
fn id_at_unit(key: u64, unit: u64, low: u64) -> u64 {
    unmix(unmix(unit << 11 | low & 0x7ff) ^ key)
}

/// A size for which there are two adjacent units whose scores round to the same float.
const TIE_SIZE: f64 = 1.29;

fn tied_unit() -> u64 {
    let score = |unit: u64| -((unit as f64 + 1.0) / UNIT_STEPS).ln() / TIE_SIZE;
    let from = ((-1.3f64).exp() * UNIT_STEPS) as u64;
    (from..from + 10_000)
        .find(|unit| score(*unit) == score(unit + 1))
        .expect("no two adjacent units have equal scores")
}

#[derive(Clone, Debug)]
enum Step {
    Set(u64, f64),
    Remove(usize),
    SetMany(u64, u64),
    Update(u64, usize),
}

fn sizes() -> impl Strategy<Value = f64> {
    prop_oneof![4 => Just(1.0), 2 => 0.01..100.0f64, 1 => Just(0.01), 1 => Just(100.0), 2 => Just(TIE_SIZE)]
}

/// Ids that are drawn from all values, drawn from a small range, or chosen so that their scores for key 5 are
/// equal or very close.
fn ids() -> impl Strategy<Value = u64> {
    let tied = tied_unit();
    let close = (0..4u64, 0..3u64).prop_map(|(unit, low)| id_at_unit(5, (1 << 53) - 3 + unit % 3, low));
    let middle = (0..4u64, 0..3u64).prop_map(move |(unit, low)| id_at_unit(5, tied + unit, low));
    prop_oneof![4 => any::<u64>(), 3 => 0..60u64, 2 => close, 2 => middle]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (ids(), sizes()).prop_map(|(id, size)| Step::Set(id, size)),
        2 => any::<usize>().prop_map(Step::Remove),
        1 => (any::<u64>(), 1..700u64).prop_map(|(from, count)| Step::SetMany(from, count)),
        8 => (4..8u64, prop_oneof![6 => 0..40usize, 1 => Just(1_000usize)])
            .prop_map(|(key, wanted)| Step::Update(key, wanted)),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(crate::proptest_config())]

    /// Whatever happens to the list between two requests, a cached order is a prefix of the full sort, and at
    /// least as long as was asked for.
    #[test]
    fn cached_order_is_a_prefix_of_the_full_sort(steps in steps()) {
        let (mut list, mut rendezvous) = (BTreeMap::new(), Rendezvous::default());
        let mut orders: BTreeMap<u64, RankedWorkers> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Set(id, size) => {
                    list.insert(id, size);
                    rendezvous.set(WorkerId(id), size);
                }
                Step::Remove(index) => {
                    let id = list.keys().nth(index % list.len().max(1)).copied().unwrap_or(7);
                    list.remove(&id);
                    rendezvous.remove(WorkerId(id));
                }
                Step::SetMany(from, count) => (0..count).for_each(|n| {
                    let id = mix(from.wrapping_add(n));
                    list.insert(id, 1.0 + (n % 3) as f64);
                    rendezvous.set(WorkerId(id), 1.0 + (n % 3) as f64);
                }),
                Step::Update(key, wanted) => {
                    let order = orders.entry(key).or_default();
                    rendezvous.update(key, order, wanted);
                    let (full, cached) = (full_sort(key, &list), order.workers().collect::<Vec<_>>());
                    prop_assert!(cached.len() >= wanted.min(list.len()));
                    prop_assert_eq!(&cached[..], &full[..cached.len()]);
                    prop_assert_eq!((order.len(), rendezvous.len()), (cached.len(), list.len()));
                }
            }
        }
    }

    /// The first workers of a filtered list are the first of the filtered full sort.
    #[test]
    fn first_of_a_filtered_list_matches_the_filtered_full_sort(
        list in proptest::collection::btree_map(ids(), sizes(), 0..300),
        key in 4..8u64,
        count in prop_oneof![0..20usize, Just(usize::MAX)],
        part in 1..5u64,
    ) {
        let mut rendezvous = Rendezvous::default();
        list.iter().for_each(|(id, size)| rendezvous.set(WorkerId(*id), *size));
        let is_kept = |worker: &WorkerId| mix(worker.0 ^ 99).is_multiple_of(part);
        let mut expected: Vec<_> = full_sort(key, &list).into_iter().filter(is_kept).collect();
        expected.truncate(count);
        let some = list.keys().map(|id| WorkerId(*id)).filter(is_kept);
        prop_assert_eq!(rendezvous.first(key, some, count), expected);
    }
}

/// Checks that the chosen ids hash to the wanted units.
#[test]
fn chosen_ids_hash_to_the_wanted_units() {
    for unit in [0, 1, tied_unit(), (1 << 53) - 1] {
        assert_eq!(mix(5 ^ mix(id_at_unit(5, unit, 1))) >> 11, unit);
    }
}

/// Two workers whose scores round to one float are ordered by id, even if only one of them would be within a
/// bound by its hash.
#[test]
fn equal_scores_are_ordered_by_id() {
    let (unit, mut list, mut rendezvous) = (tied_unit(), BTreeMap::new(), Rendezvous::default());
    let mut others = (1u64..).filter(|id| mix(5 ^ mix(*id)) >> 11 < unit - 1_000);
    for id in [id_at_unit(5, unit, 0), id_at_unit(5, unit + 1, 0)].into_iter().chain(others.by_ref().take(60))
    {
        list.insert(id, TIE_SIZE);
        rendezvous.set(WorkerId(id), TIE_SIZE);
    }
    for wanted in [1, 2, 3] {
        let mut order = RankedWorkers::default();
        rendezvous.update(5, &mut order, wanted);
        assert_eq!(order.workers().collect::<Vec<_>>(), full_sort(5, &list)[..order.len()]);
        let all = list.keys().map(|id| WorkerId(*id));
        assert_eq!(rendezvous.first(5, all, wanted), full_sort(5, &list)[..wanted]);
    }
}

/// With a large list, the order that is cached for a function stays small, and one change does not invalidate
/// it.
#[test]
fn cached_order_stays_small() {
    let mut rendezvous = Rendezvous::default();
    (0..20_000).for_each(|n| rendezvous.set(WorkerId(n), 1.0));
    let mut order = RankedWorkers::default();
    for n in 0..40_000 {
        rendezvous.set(WorkerId(20_000 + n), 1.0);
        rendezvous.update(9, &mut order, 14);
        assert!((14..=4 * 28 + 1).contains(&order.len()), "{}", order.len());
    }
    rendezvous.remove(order.workers().nth(3).unwrap());
    rendezvous.update(9, &mut order, 14);
    assert_eq!((order.version, order.len() >= 14), (rendezvous.version, true));
}
