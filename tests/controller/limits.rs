//! Limits that keep the decision module short enough to read in one sitting.

const MODULE: &str = include_str!("../../src/control.rs");

/// Guards against a module that grows too long to review as a whole.
#[test]
fn the_module_has_at_most_950_lines() {
    let lines = MODULE.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 950, "{lines} lines");
}

/// Guards against meeting the limit on lines by longer lines.
#[test]
fn its_lines_have_at_most_110_columns() {
    for (n, line) in MODULE.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", n + 1);
    }
}

/// Guards against a reader of the module who does not find its types.
#[test]
fn it_names_its_interface_at_the_top() {
    assert!(MODULE.lines().take(3).any(|l| l.contains("src/interface.rs")));
}
