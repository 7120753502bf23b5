//! `config show`: values in force with their sources.

use crate::support::{policy, Folder, EXAMPLE};

#[test]
fn show_prints_the_values_in_force_with_their_sources() {
    let folder = Folder::with("names.fb", "let night-rate = 25 units/s\n");
    folder.put("site.fb", format!("include \"names.fb\"\n{}", policy("night-rate")));
    let shown = folder.config("show site.fb");
    assert_eq!((shown.code, shown.err.as_str()), (0, ""));
    assert!(shown.out.contains("# site.fb:4:10, `night-rate` of names.fb:1:18\n"), "{}", shown.out);
    assert!(shown.out.contains("# burst: as the plan grants (not set)\n") && !shown.out.contains("# plan "));

    let shown = folder.config(&format!("show site.fb --settings {EXAMPLE}"));
    let quotas = "
# quotas in force, for each customer of a plan
# plan standard
#   rate: 4 units/s, from the platform's settings
#   burst: 20 units, from the platform's settings
#   open: 2 attempts, from the platform's settings
# plan premium
#   rate: 25 units/s, from quota policy `night`, site.fb:4:10
#   burst: 60 units, from the platform's settings
#   open: no bound, from the platform's settings
";
    assert_eq!((shown.code, shown.err.as_str()), (0, ""));
    assert!(shown.out.ends_with(quotas), "{}", shown.out);
    // The output is an equivalent file.
    folder.put("shown.fb", shown.out);
    folder.config("diff --exit-code site.fb shown.fb").is(0, "", "");
}

#[test]
fn show_of_an_invalid_file_prints_its_errors() {
    let folder = Folder::with("site.fb", &policy("25"));
    let shown = folder.config("show site.fb");
    assert_eq!((shown.code, shown.out.as_str()), (1, ""));
    assert!(shown.err.contains(" --> site.fb:3:10\n"), "{}", shown.err);
    folder.put("site.fb", policy("40 units/s"));
    assert_eq!(folder.config(&format!("show site.fb --settings {EXAMPLE}")).code, 1);
}
