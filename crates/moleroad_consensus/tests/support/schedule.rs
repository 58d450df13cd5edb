//! Runs of one test with many seeds.

/// Number of threads that run schedules.
const THREADS: u64 = 4;

/// Runs `schedule` with each of the seeds below `count`.
pub fn run_schedules(count: u64, schedule: impl Fn(u64) + Sync + std::panic::RefUnwindSafe) {
    let schedule = &schedule;
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            scope.spawn(move || {
                for seed in (thread..count).step_by(THREADS as usize) {
                    let outcome = std::panic::catch_unwind(|| schedule(seed));
                    assert!(outcome.is_ok(), "schedule {seed} failed");
                }
            });
        }
    });
}
