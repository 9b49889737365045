//! docs/DEPENDENCIES.md lists every library that a crate depends on.

use std::collections::BTreeSet;
use std::fs;
use std::path;

fn root() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Names in the dependency sections of a manifest, without the crates of this
/// workspace.
fn asked_for(manifest: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    let mut within = false;
    for line in manifest.lines() {
        if line.starts_with('[') {
            within = line.ends_with("dependencies]");
        } else if let Some((name, _)) = line.split_once(" = ")
            && within
            && !name.starts_with("figscale")
        {
            names.insert(name.to_owned());
        }
    }
    names
}

#[test]
fn every_library_is_on_the_page() {
    let page = fs::read_to_string(root().join("docs/DEPENDENCIES.md")).unwrap();
    let mut missing = BTreeSet::new();
    for entry in fs::read_dir(root().join("crates")).unwrap() {
        let manifest = entry.unwrap().path().join("Cargo.toml");
        let names = asked_for(&fs::read_to_string(manifest).unwrap());
        assert!(!names.is_empty());
        missing.extend(
            names
                .into_iter()
                .filter(|n| !page.contains(&format!("`{n}`"))),
        );
    }
    assert!(
        missing.is_empty(),
        "add to docs/DEPENDENCIES.md: {missing:?}"
    );
}
