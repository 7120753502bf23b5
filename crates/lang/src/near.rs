//! Known words that look like an unknown one.

/// The known word nearest to `word`, if it is near enough to be what was meant.
pub(crate) fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let letters: Vec<char> = word.to_lowercase().chars().take(40).collect();
    let allowed = if letters.len() <= 4 { 1 } else { 2 };
    known
        .into_iter()
        .filter(|known| known.len() <= 160 && known.chars().count().abs_diff(letters.len()) <= allowed)
        .map(|known| (distance(&letters, &known.to_lowercase()), known))
        .filter(|(distance, _)| *distance <= allowed)
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, known)| known.to_owned())
}

/// Letters to put in, leave out, change or swap with their neighbour to come from one word to the other.
fn distance(from: &[char], to: &str) -> usize {
    let to: Vec<char> = to.chars().collect();
    let mut rows = vec![(0..=to.len()).collect::<Vec<usize>>()];
    for i in 1..=from.len() {
        let mut row = vec![i];
        for j in 1..=to.len() {
            let changed = rows[i - 1][j - 1] + usize::from(from[i - 1] != to[j - 1]);
            let mut least = changed.min(rows[i - 1][j] + 1).min(row[j - 1] + 1);
            if i > 1 && j > 1 && from[i - 1] == to[j - 2] && from[i - 2] == to[j - 1] {
                least = least.min(rows[i - 2][j - 2] + 1);
            }
            row.push(least);
        }
        rows.push(row);
    }
    rows[from.len()][to.len()]
}

#[cfg(test)]
mod tests {
    use super::nearest;

    #[test]
    fn slips_of_the_hand_are_near_and_other_words_are_not() {
        let known = ["zones", "machines", "Pool", "cells"];
        let near = |word| nearest(word, known);
        assert_eq!(near("zoens").as_deref(), Some("zones"));
        assert_eq!(near("Machine").as_deref(), Some("machines"));
        assert_eq!(near("pol").as_deref(), Some("Pool"));
        assert_eq!(near("customers"), None);
    }
}
