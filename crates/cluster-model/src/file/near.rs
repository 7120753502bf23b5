//! Known words that look like an unknown one.

/// The known word nearest to `word`, if it is near enough to be what was meant.
pub(super) fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let word: String = word.to_lowercase().chars().take(40).collect();
    let letters = word.chars().count();
    let allowed = if letters <= 4 { 1 } else { 2 };
    known
        .into_iter()
        .map(|known| (strsim::osa_distance(&word, known), known))
        .filter(|(distance, _)| *distance <= allowed)
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, known)| known.to_owned())
}

#[cfg(test)]
mod tests {
    use super::nearest;

    #[test]
    fn slips_of_the_hand_are_near_and_other_words_are_not() {
        let known = ["hosts", "gateways", "host"];
        let near = |word| nearest(word, known);
        assert_eq!(near("hsots").as_deref(), Some("hosts"));
        assert_eq!(near("Gatways").as_deref(), Some("gateways"));
        assert_eq!(near("hst").as_deref(), Some("host"));
        assert_eq!(near("servers"), None);
    }
}
