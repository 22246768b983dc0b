//! The speeds of back ends on a coarse scale, so that small changes of an estimate do not move homes and partitions.

/// Number of classes that a back end of twice the speed is away.
const CLASSES_PER_DOUBLING: f64 = 2.0;
/// A back end stays in its class until its speed is this many classes beyond the middle to the next one.
const HYSTERESIS: f64 = 0.25;
/// Classes from the slowest to the fastest are -`FASTEST` to `FASTEST`.
const FASTEST: i8 = 4;

/// The speed of a back end relative to the mean of its pool. The default is the mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SpeedClass(i8);

impl SpeedClass {
    /// Number of classes.
    pub const COUNT: usize = 2 * FASTEST as usize + 1;

    /// The class of a back end that was in this one, and takes `time_factor` times as long as the mean.
    pub fn updated(self, time_factor: f64) -> Self {
        let exact = -time_factor.max(f64::MIN_POSITIVE).log2() * CLASSES_PER_DOUBLING;
        if (exact - f64::from(self.0)).abs() <= 0.5 + HYSTERESIS {
            return self;
        }
        let limit = f64::from(FASTEST);
        Self(exact.round().clamp(-limit, limit) as i8)
    }

    /// Position among the classes, the slowest first.
    pub fn index(self) -> usize {
        (self.0 + FASTEST) as usize
    }

    /// The speeds of all classes, the slowest first.
    pub fn speeds() -> impl Iterator<Item = f64> {
        (-FASTEST..=FASTEST).map(|class| Self(class).speed())
    }

    /// Speed relative to the mean of the pool.
    pub fn speed(self) -> f64 {
        (f64::from(self.0) / CLASSES_PER_DOUBLING).exp2()
    }
}

#[cfg(test)]
#[path = "speed_class_tests.rs"]
mod tests;
