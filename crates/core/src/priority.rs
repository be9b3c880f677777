//! Classes of priorities, which tables of a fixed size have entries for.

/// Number of classes.
pub(crate) const CLASSES: usize = 8;
/// Lowest priority of each class: single numbers first, then ranges that grow, so that the order of widely spaced numbers is kept.
const FIRST_OF_CLASS: [u32; CLASSES] = [0, 1, 2, 3, 4, 8, 16, 64];

/// Class of a priority, whose numbers begin at 0 for the most urgent one.
pub(crate) fn class(priority: u32) -> usize {
    FIRST_OF_CLASS.iter().rposition(|first| *first <= priority).unwrap_or(0)
}
