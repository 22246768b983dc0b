use rstest::rstest;

use crate::settings::{parse, ControlSettings, RouterSettings, SettingsError};
use crate::{Execution, RequestError, RequestId, Resource, ResourceSpec, SecretKey};

const ROUTER: &str = r#"
name = "router-1"
zone = "zone-a"
listen = "127.0.0.1:8080"
data_dir = "data"
control = ["127.0.0.1:9001"]
cluster_key = "0123456789abcdef"

[limits]
max_body_bytes = 1048576
"#;

#[test]
fn a_valid_router_file_is_read() {
    let settings: RouterSettings = parse(ROUTER).unwrap();
    assert_eq!(settings.limits.max_body_bytes, 1 << 20);
    assert_eq!(settings.limits.max_attempts, 4);
}

#[rstest]
#[case::unknown_key("max_body_bytes = 1048576", "max_body = 1", 10, "unknown field")]
#[case::wrong_type("name = \"router-1\"", "name = 7", 2, "string")]
#[case::out_of_range("max_body_bytes = 1048576", "max_body_bytes = 5", 10, "1024 to")]
#[case::short_key("0123456789abcdef", "short", 7, "16 bytes or more")]
fn a_bad_router_file_names_line_and_cause(
    #[case] good: &str,
    #[case] bad: &str,
    #[case] line: usize,
    #[case] expected_cause: &str,
) {
    let error = parse::<RouterSettings>(&ROUTER.replace(good, bad)).unwrap_err();
    let text = error.to_string();
    assert!(text.starts_with(&format!("line {line}:")), "{text}");
    assert!(text.contains(expected_cause), "{text}");
}

#[test]
fn control_settings_must_list_the_machine_itself() {
    let text = r#"
id = 4
cluster = "c"
listen = "127.0.0.1:1"
internal_listen = "127.0.0.1:2"
data_dir = "d"
peers = [{ id = 1, address = "127.0.0.1:2" }]
cluster_key = "0123456789abcdef"
operators = []
platform_url = "http://127.0.0.1:3"
"#;
    let error = parse::<ControlSettings>(text).unwrap_err();
    assert!(
        matches!(error, SettingsError::Value { line: 7, .. }),
        "{error}"
    );
}

#[test]
fn request_ids_round_trip() {
    let id = RequestId {
        router: 0xfeed,
        sequence: 42,
    };
    assert_eq!(id.to_string().parse::<RequestId>().unwrap(), id);
}

#[rstest]
#[case(Execution::NotRun)]
#[case(Execution::MayHaveRun)]
#[case(Execution::Ran)]
fn execution_words_round_trip(#[case] execution: Execution) {
    assert_eq!(Execution::from_word(execution.as_str()), execution);
}

#[test]
fn an_unknown_execution_word_means_may_have_run() {
    assert_eq!(Execution::from_word("fine"), Execution::MayHaveRun);
}

#[test]
fn a_secret_key_is_not_printed() {
    assert!(!format!("{:?}", SecretKey::new("hush")).contains("hush"));
}

#[test]
fn a_resource_document_round_trips() {
    let text = r#"{"name":"m","version":3,"kind":"model",
        "spec":{"weights_version":2,"block_tokens":2048},"changed_by":"o","change_id":"c"}"#;
    let resource: Resource = serde_json::from_str(text).unwrap();
    assert!(matches!(resource.spec, ResourceSpec::Model(_)));
    let again: Resource = serde_json::from_str(&serde_json::to_string(&resource).unwrap()).unwrap();
    assert_eq!(again, resource);
}

#[rstest]
#[case("", false)]
#[case("Upper", false)]
#[case("fine-1.2", true)]
fn names_are_checked(#[case] name: &str, #[case] accepted: bool) {
    let spec: ResourceSpec = serde_json::from_str(
        r#"{"kind":"model","spec":{"weights_version":2,"block_tokens":2048}}"#,
    )
    .unwrap();
    assert_eq!(spec.validate(name).is_ok(), accepted);
}

#[test]
fn a_request_error_displays_its_code_and_execution() {
    let error = RequestError::not_run(crate::ErrorCode::NoEngine, "nothing ready");
    assert_eq!(error.to_string(), "nothing ready (no_engine, not_run)");
}
