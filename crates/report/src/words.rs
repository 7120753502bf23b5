//! Texts that come from files, made fit to be shown.

/// The text without characters that would move a terminal's cursor, break a line or turn the direction of
/// reading: each becomes a space.
pub(crate) fn plain(text: &str) -> String {
    let unfit = |c: char| {
        c.is_control()
            || matches!(c, '\u{2028}'..='\u{202e}' | '\u{2066}'..='\u{2069}' | '\u{200e}' | '\u{200f}')
    };
    text.chars().map(|c| if unfit(c) { ' ' } else { c }).collect()
}

/// The plain text for a place in a page, between tags or in a quoted attribute.
pub(crate) fn escape(text: &str) -> String {
    let mut safe = String::with_capacity(text.len());
    for c in plain(text).chars() {
        match c {
            '&' => safe.push_str("&amp;"),
            '<' => safe.push_str("&lt;"),
            '>' => safe.push_str("&gt;"),
            '"' => safe.push_str("&quot;"),
            '\'' => safe.push_str("&#39;"),
            c => safe.push(c),
        }
    }
    safe
}

/// At most so many characters (4 or more), with dots where some are left out.
pub(crate) fn clip(text: &str, most: usize) -> String {
    if text.chars().count() <= most {
        return text.into();
    }
    let kept: String = text.chars().take(most.saturating_sub(2)).collect();
    format!("{kept}..")
}

/// The plain text in lines of at most `width` characters; words longer than a line are broken.
pub(crate) fn wrap(text: &str, width: usize) -> Vec<String> {
    let width = width.max(1);
    let mut lines = vec![String::new()];
    let mut used = 0;
    for word in plain(text).split_whitespace() {
        let length = word.chars().count();
        if used > 0 && used + 1 + length <= width {
            push(&mut lines, " ");
            used += 1;
        } else if used > 0 {
            lines.push(String::new());
            used = 0;
        }
        for c in word.chars() {
            if used == width {
                lines.push(String::new());
                used = 0;
            }
            push(&mut lines, c.encode_utf8(&mut [0; 4]));
            used += 1;
        }
    }
    lines
}

/// Adds to the last line.
fn push(lines: &mut [String], text: &str) {
    if let Some(last) = lines.last_mut() {
        last.push_str(text);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_text_from_a_file_cannot_steer_a_terminal() {
        assert_eq!(plain("a\u{1b}[2Jb\nc\u{202e}d"), "a [2Jb c d");
    }

    #[test]
    fn a_text_from_a_file_is_no_markup() {
        assert_eq!(escape("<b a='1' c=\"2\">&"), "&lt;b a=&#39;1&#39; c=&quot;2&quot;&gt;&amp;");
    }

    #[test]
    fn lines_are_no_longer_than_asked() {
        assert_eq!(wrap("one two three", 7), ["one two", "three"]);
        assert_eq!(wrap("abcdefghij k", 4), ["abcd", "efgh", "ij k"]);
        assert_eq!(wrap("", 10), [""]);
    }

    #[test]
    fn long_names_are_clipped_by_characters() {
        assert_eq!([clip("premium", 7), clip("ööööööööö", 5)], ["premium", "ööö.."]);
    }
}
