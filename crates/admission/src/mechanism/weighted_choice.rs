//! Weighted random choice.

/// Returns the index of the item that `draw`, from 0 to 1, falls on if each item covers a range in proportion
/// to its weight; `None` if there are no items. A draw beyond all ranges, which rounding can cause, falls on
/// the last item.
pub(crate) fn weighted_choice(draw: f64, weights: &[f64]) -> Option<usize> {
    let mut remaining = draw * weights.iter().sum::<f64>();
    let chosen = weights.iter().position(|weight| {
        remaining -= weight;
        remaining <= 0.0
    });
    chosen.or(weights.len().checked_sub(1))
}

/// Returns weights in inverse proportion to cost. The items of the first group get the fraction
/// `first_fraction` of the sum of weights, and those of the second group the rest. If one group has no items,
/// the other gets the whole sum.
pub(crate) fn inverse_cost_weights<T>(
    items: &[T],
    cost: impl Fn(&T) -> f64,
    is_in_first: impl Fn(&T) -> bool,
    first_fraction: f64,
) -> Vec<f64> {
    let sum_of_group = |first: bool| {
        items.iter().filter(|item| is_in_first(item) == first).fold(0.0, |sum, item| sum + 1.0 / cost(item))
    };
    let (first_sum, second_sum) = (sum_of_group(true), sum_of_group(false));
    let (mut first_scale, mut second_scale) = (1.0, 1.0);
    if first_sum > 0.0 && second_sum > 0.0 {
        first_scale = first_fraction / first_sum;
        second_scale = (1.0 - first_fraction) / second_sum;
    }
    let weight = |item| if is_in_first(item) { first_scale } else { second_scale } / cost(item);
    items.iter().map(weight).collect()
}
