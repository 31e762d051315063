//! Checks that the committed generated code matches the schema files.

use std::fs;
use std::path::Path;

const SCHEMA_FILES: [&str; 3] = ["common.proto", "node.proto", "operators.proto"];
const GENERATED_FILES: [&str; 2] = ["hemlocktack.v1.rs", "hemlocktack.v1.serde.rs"];
/// Set this to regenerate the code after a change of the schema.
const REGENERATE_VARIABLE: &str = "HEMLOCKTACK_REGENERATE";
/// Enums that are also written and parsed as kebab-case names.
const NAMED_ENUMS: [&str; 5] = [
    "Outcome",
    "Reason",
    "NodeState",
    "StoreContact",
    "UpstreamState",
];

/// Fields that few messages have. Boxed, they cost the others no memory.
const RARE_FIELDS: [&str; 2] = ["Call.upstream_notice", "Answer.upstream_notice"];

fn generate(target: &Path) {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let descriptors =
        protox::compile(SCHEMA_FILES, [package.join("schema")]).expect("schema compiles");
    let mut config = prost_build::Config::new();
    config.out_dir(target).bytes(["."]);
    for name in NAMED_ENUMS {
        let path = format!(".hemlocktack.v1.{name}");
        config.type_attribute(
            &path,
            "#[derive(strum::IntoStaticStr, strum::EnumString, strum::EnumIter)]",
        );
        config.type_attribute(&path, "#[strum(serialize_all = \"kebab-case\")]");
    }
    for field in RARE_FIELDS {
        config.boxed(format!(".hemlocktack.v1.{field}"));
    }
    config
        .compile_fds(descriptors.clone())
        .expect("messages are generated");
    let mut json = pbjson_build::Builder::new();
    for file in descriptors.file {
        json.register_file_descriptor(file);
    }
    // An older node must be able to read what a newer one has stored in the platform.
    json.ignore_unknown_fields().ignore_unknown_enum_variants();
    json.out_dir(target)
        .build(&[".hemlocktack.v1"])
        .expect("JSON forms are generated");
}

#[test]
fn generated_code_matches_the_schema() {
    let fresh = tempfile::tempdir().unwrap();
    generate(fresh.path());
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated");
    for name in GENERATED_FILES {
        let expected = fs::read_to_string(fresh.path().join(name)).unwrap();
        if std::env::var_os(REGENERATE_VARIABLE).is_some() {
            fs::write(committed.join(name), &expected).unwrap();
        }
        let found = fs::read_to_string(committed.join(name)).unwrap();
        assert!(
            found == expected,
            "{name} differs from the schema; run this test with {REGENERATE_VARIABLE}=1"
        );
    }
}
