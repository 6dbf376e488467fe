//! Memory of the residency index, by an allocator that counts.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    sync::atomic::{
        AtomicUsize,
        Ordering, //
    },
    time::Instant,
};

use wagtaildoor::{
    prefix::LevelPrefix,
    residency::ResidencyIndex, //
};

/// Prefixes an index may hold here.
const PREFIXES: usize = 10_000;
/// Memory allowed for each prefix, in bytes: 64 MiB for the 100,000 of a routing table.
const PREFIX_LIMIT_BYTES: usize = 64 * 1024 * 1024 / 100_000;

/// Bytes allocated now.
static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, with a count.
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: every call goes to the system's allocator unchanged; only a counter is added.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Confirms many prefixes at holders each; gives the bytes used and the prefixes held.
fn fill(prefixes: u64, holders: u32) -> (usize, usize) {
    let before = ALLOCATED.load(Ordering::Relaxed);
    let start = Instant::now();
    let mut index = ResidencyIndex::new(PREFIXES, start);
    for number in 1..=prefixes {
        let id = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let levels = [LevelPrefix { id, tokens: 100 }];
        for slot in 0..holders {
            index.confirm(slot, &levels, &[id], start);
        }
    }
    let used = ALLOCATED.load(Ordering::Relaxed) - before;
    (used, index.len())
}

#[test]
fn memory_is_bounded_whatever_comes() {
    let cases = [
        ("one holder each", 50_000, 1),
        ("three holders each", 20_000, 3),
        ("more holders than are kept", 20_000, 40),
    ];
    for (name, prefixes, holders) in cases {
        let (used, held) = fill(prefixes, holders);
        println!(
            "{name}: {used} bytes for {held} prefixes, {} each",
            used / held
        );
        assert!(held <= PREFIXES, "{name}: {held} prefixes");
        let limit = PREFIXES * PREFIX_LIMIT_BYTES;
        assert!(used <= limit, "{name}: {used} bytes");
    }
}
