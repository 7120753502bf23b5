//! Suggests a known word for a misspelt one.

/// Returns the known word with the smallest edit distance to `word`, if the distance is small enough for a
/// spelling mistake.
pub(super) fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let word: String = word.to_lowercase().chars().take(40).collect();
    let length = word.chars().count();
    let max_distance = if length <= 4 { 1 } else { 2 };
    known
        .into_iter()
        .map(|known| (strsim::osa_distance(&word, known), known))
        .filter(|(distance, _)| *distance <= max_distance)
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, known)| known.to_owned())
}

#[cfg(test)]
mod tests {
    use super::nearest;

    #[test]
    fn suggests_a_known_word_for_a_misspelling_only() {
        let known = ["hosts", "gateways", "host"];
        let suggest = |word| nearest(word, known);
        assert_eq!(suggest("hsots").as_deref(), Some("hosts"));
        assert_eq!(suggest("Gatways").as_deref(), Some("gateways"));
        assert_eq!(suggest("hst").as_deref(), Some("host"));
        assert_eq!(suggest("servers"), None);
    }
}
