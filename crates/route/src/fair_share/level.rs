//! Max-min fair division of a capacity.

/// Highest amount that each may use so that all together use no more than the capacity, where nobody uses more than it
/// demands; `None` if all demands fit.
pub(super) fn fair_level(demands: impl Iterator<Item = f64>, capacity: f64) -> Option<f64> {
    let mut demands: Vec<f64> = demands.collect();
    if demands.iter().sum::<f64>() <= capacity {
        return None;
    }
    demands.sort_unstable_by(f64::total_cmp);
    let mut left = capacity;
    for (index, demand) in demands.iter().enumerate() {
        let share = left / (demands.len() - index) as f64;
        if *demand > share {
            return Some(share);
        }
        left -= demand;
    }
    None
}
