use rstest::rstest;

use super::super::tests::{admit_model_request, at, prompt_of, record, router_with};
use super::super::{Choice, ChoiceError, EarlierAttempts, Prompt};
use super::*;
use crate::{InstanceRecord, Lifecycle, Outcome, RequestKind, SoftwareVersion};

const POOL: &str = "models";

fn back_ends(versions: &[&str]) -> Vec<InstanceRecord> {
    let numbered = versions.iter().zip(1..);
    let record = |(version, number): (&&str, u64)| InstanceRecord {
        software: SoftwareVersion::new(version),
        ..record(&format!("{POOL}-{number}"), POOL, number)
    };
    numbered.map(record).collect()
}

fn software(version: &str) -> Option<SoftwareKey> {
    Some(SoftwareKey::of_names(POOL, version))
}

struct Request {
    router: RouterCore,
    admission: Admission,
    prompt: Prompt,
}

impl Request {
    fn to(versions: &[&str]) -> Self {
        Self::to_records(back_ends(versions))
    }

    fn to_records(records: Vec<InstanceRecord>) -> Self {
        let mut router = router_with(records);
        let admission = admit_model_request(&mut router, RequestKind::ResumableStream);
        Self {
            router,
            admission,
            prompt: prompt_of(600),
        }
    }

    fn choose(&mut self, required: Option<SoftwareKey>) -> Result<Choice, ChoiceError> {
        let earlier = EarlierAttempts {
            required_software: required,
            ..EarlierAttempts::default()
        };
        self.router
            .choose(at(1), &self.admission, Some(&self.prompt), earlier)
    }
}

#[test]
fn a_stream_is_continued_only_at_the_version_that_began_it() {
    let mut request = Request::to(&["v1", "v2", "v1", "v2", "v2"]);
    for _ in 0..40 {
        let choice = request.choose(software("v2")).unwrap();
        assert_eq!(choice.software.as_str(), "v2");
        let began = drumshore_core::Timestamp(0);
        request
            .router
            .finished(at(2), &choice.instance, began, Outcome::Answered);
    }
}

#[rstest]
#[case::gone(&["v1", "v1"])]
#[case::of_another_pool_only(&["v1", ""])]
fn a_stream_is_not_continued_when_no_back_end_of_its_version_is_left(#[case] versions: &[&str]) {
    let mut request = Request::to(versions);
    let error = request.choose(software("v2")).unwrap_err();
    assert_eq!(error, ChoiceError::NoneOfSoftware);
}

#[test]
fn a_stream_is_not_continued_at_draining_back_ends() {
    let mut records = back_ends(&["v1", "v2"]);
    records[1].lifecycle = Lifecycle::Draining;
    let mut request = Request::to_records(records);
    let error = request.choose(software("v2")).unwrap_err();
    assert_eq!(error, ChoiceError::NoneOfSoftware);
}

#[rstest]
#[case::none_declares(&["", ""], true)]
#[case::another_declares(&["", "", "v1"], false)]
fn back_ends_without_a_version_are_equal_only_if_none_declares_one(
    #[case] versions: &[&str],
    #[case] continues: bool,
) {
    let mut request = Request::to(versions);
    assert_eq!(request.choose(software("")).is_ok(), continues);
}

#[test]
fn a_stream_that_begins_may_go_to_any_version() {
    let mut request = Request::to(&["v1", "v2"]);
    assert!(request.choose(None).is_ok());
}
