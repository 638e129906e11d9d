//! Tests for the formats of keys, stored values and peer messages.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use skylarkshore_core::accounts::{Account, AccountLimit, KeyDigest, LimitUnit};
use skylarkshore_core::catalogue::{ConfiguredCatalogue, Document, Model, ModelTarget};
use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::id::{
    AccountName, CallId, CatalogueRevision, Digest, Fence, Incarnation, ModelName, RulesRevision,
    SoftwareVersion, StoreRevision, StreamId, UpstreamId,
};
use skylarkshore_core::peer::{
    CreditMessage, KnownNotices, LendingTerm, News, NoticeMessage, PeerMessage, RejectionLimit, ReportNumber,
    SlotMessage, SlotReport, SlotsLent, StatePart, StreamMessage, StreamOrigin,
};
use skylarkshore_core::rules::ServiceOrder;
use skylarkshore_core::store::{
    HomesRecord, Key, MemberRecord, OnceRecord, OnceState, OwnerRecord, PowerRecord, Record, RecordBatch,
    RecordedAnswer, RelayRootRecord, Versioned, Writer,
};
use skylarkshore_core::units::{Capacity, CreditRate, Credits, Mebibytes, Watts};
use skylarkshore_core::view::{EngineView, ModelView, Readiness, ViewVersion};
use skylarkshore_wire::keys::{KeyText, StoredValue};
use skylarkshore_wire::peer::{InvalidMessage, MAX_MESSAGE_LEN, PeerMessageWire, decode, encode};

fn writer() -> Writer {
    Writer { host: "entry-1".parse().unwrap(), incarnation: Incarnation(7), call: CallId(12) }
}

/// Returns sample keys of most kinds with their values.
fn stored_records() -> Vec<(Key, Record)> {
    let member = MemberRecord {
        incarnation: Incarnation(7),
        caller_address: "10.0.0.1:8080".parse().unwrap(),
        peer_address: "10.0.0.1:8081".parse().unwrap(),
        data_centre: "bern-a".parse().unwrap(),
        fingerprint: Digest([0xab; 32]),
        leaving: false,
        capacity: Capacity::default(),
    };
    let owner =
        OwnerRecord { host: "entry-1".parse().unwrap(), incarnation: Incarnation(7), fence: Fence(4) };
    let homes = HomesRecord {
        engines: vec!["engine-2".parse().unwrap(), "engine-5".parse().unwrap()],
        evicted_from: Vec::new(),
    };
    let relay_root =
        RelayRootRecord { host: "entry-1".parse().unwrap(), incarnation: Incarnation(7), members: Some(985) };
    let power = PowerRecord { grants: [("engine-1".parse().unwrap(), Watts(700))].into() };
    let answer =
        RecordedAnswer { status: 200, content_type: Some("text/plain".to_owned()), body: vec![0, 255, 10] };
    let once = |state| {
        Record::Once(OnceRecord {
            request: Digest([1; 32]),
            host: "entry-1".parse().unwrap(),
            incarnation: Incarnation(7),
            state,
        })
    };
    let document = Document { revision: RulesRevision(3), ..Document::default() };
    vec![
        (Key::Document, Record::Document(Arc::new(document))),
        (Key::Member("entry-1".parse().unwrap()), Record::Member(member)),
        (Key::Owner("engine:2".parse().unwrap()), Record::Owner(owner)),
        (Key::Homes("mail/summary@2".parse().unwrap()), Record::Homes(homes)),
        (Key::Power("lagerraum".parse().unwrap()), Record::Power(power)),
        (Key::RelayRoot("north".parse().unwrap()), Record::RelayRoot(relay_root)),
        (Key::Once(Digest([2; 32])), once(OnceState::Answered(answer))),
        (Key::Once(Digest([3; 32])), once(OnceState::Claimed)),
        (Key::Once(Digest([4; 32])), once(OnceState::AnswerNotKept)),
    ]
}

#[test]
fn keys_and_values_have_the_documented_format_and_survive_a_round_trip() {
    let mut lines = Vec::new();
    for (key, record) in stored_records() {
        let text = KeyText::from(&key);
        assert_eq!(Key::try_from(&text).unwrap(), key);
        let value = StoredValue { writer: writer(), record };
        let json = value.to_json();
        assert_eq!(StoredValue::from_json(&key, json.as_bytes()).unwrap(), value);
        lines.push(format!("{text}\n  {json}"));
    }
    insta::assert_snapshot!(lines.join("\n"), @r#"
    skylarkshore/shared/document
      {"writer":{"host":"entry-1","incarnation":7,"call":12},"value":{"revision":3,"power_caps":{},"models":{},"services":{},"rules":[],"otherwise":{"replicas_min":0,"replicas_max":1,"idle_after":"adaptive","order":100,"cold_start_weight":1,"idle_weight":1}}}
    skylarkshore/shared/members/entry-1
      {"writer":{"host":"entry-1","incarnation":7,"call":12},"value":{"incarnation":7,"caller_address":"10.0.0.1:8080","peer_address":"10.0.0.1:8081","data_centre":"bern-a","fingerprint":"abababababababababababababababababababababababababababababababab","leaving":false,"capacity":0}}
    skylarkshore/shared/owners/engine%3A2
      {"writer":{"host":"entry-1","incarnation":7,"call":12},"value":{"host":"entry-1","incarnation":7,"fence":4}}
    skylarkshore/shared/homes/mail%2Fsummary%402
      {"writer":{"host":"entry-1","incarnation":7,"call":12},"value":{"engines":["engine-2","engine-5"]}}
    skylarkshore/shared/power/lagerraum
      {"writer":{"host":"entry-1","incarnation":7,"call":12},"value":{"grants":{"engine-1":700}}}
    skylarkshore/shared/relay_roots/north
      {"writer":{"host":"entry-1","incarnation":7,"call":12},"value":{"host":"entry-1","incarnation":7,"members":985}}
    skylarkshore/once/0202020202020202020202020202020202020202020202020202020202020202
      {"writer":{"host":"entry-1","incarnation":7,"call":12},"value":{"request":"0101010101010101010101010101010101010101010101010101010101010101","host":"entry-1","incarnation":7,"state":{"answered":{"status":200,"content_type":"text/plain","body":"AP8K"}}}}
    skylarkshore/once/0303030303030303030303030303030303030303030303030303030303030303
      {"writer":{"host":"entry-1","incarnation":7,"call":12},"value":{"request":"0101010101010101010101010101010101010101010101010101010101010101","host":"entry-1","incarnation":7,"state":"claimed"}}
    skylarkshore/once/0404040404040404040404040404040404040404040404040404040404040404
      {"writer":{"host":"entry-1","incarnation":7,"call":12},"value":{"request":"0101010101010101010101010101010101010101010101010101010101010101","host":"entry-1","incarnation":7,"state":"answer_not_kept"}}
    "#);
}

#[test]
fn unknown_keys_and_invalid_values_are_reported_with_the_remedy() {
    let refused: Vec<String> = ["other/key", "skylarkshore/shared/members/a%2", "skylarkshore/once/12"]
        .iter()
        .map(|key| Key::try_from(&KeyText::from((*key).to_owned())).unwrap_err().to_string())
        .collect();
    insta::assert_snapshot!(refused.join("\n"), @r"
    'other/key' is not one of the system's keys (unknown prefix); delete it, or upgrade this process
    'skylarkshore/shared/members/a%2' is not one of the system's keys (a percent sign needs two hexadecimal digits after it, and the whole has to be UTF-8; correct it); delete it, or upgrade this process
    'skylarkshore/once/12' is not one of the system's keys (a digest has 64 hexadecimal digits; read it again from its source); delete it, or upgrade this process
    ");
    let wrong = StoredValue::from_json(&Key::Document, b"{\"writer\": 1}").unwrap_err().to_string();
    assert!(wrong.contains("delete its key, or upgrade this process"), "{wrong}");
}

proptest! {
    #[test]
    fn any_name_survives_encoding_in_a_key(name in "[a-zA-Z0-9._:/@-]{1,128}") {
        let key = Key::Homes(name.parse().unwrap());
        let text = KeyText::from(&key);
        prop_assert_eq!(text.as_str().matches('/').count(), 3);
        prop_assert_eq!(Key::try_from(&text).unwrap(), key);
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        _ = decode(&bytes);
    }
}

fn messages() -> Vec<PeerMessage> {
    let target = ModelTarget { model: "m".parse().unwrap(), adapter: Some("a/1".parse().unwrap()) };
    let records = stored_records().into_iter().map(|(key, record)| Versioned {
        key,
        revision: StoreRevision(9),
        writer: Some(writer()),
        record: Some(record),
    });
    let gone = Versioned { key: Key::Document, revision: StoreRevision(9), writer: None, record: None };
    let view = EngineView {
        incarnation: Incarnation(2),
        upstream: "engine-1".parse().unwrap(),
        version: ViewVersion { fence: Fence(4), number: 8 },
        models: vec![ModelView {
            model: "m".parse().unwrap(),
            version: "1".parse().unwrap(),
            readiness: Readiness::Loading { remaining: Duration::from_millis(1500) },
            adapters: vec!["a/1".parse().unwrap()],
            running: 2,
        }],
        concurrency: 8,
        running: 3,
        leaving: true,
        reserved_for: Some("entry-2".parse().unwrap()),
    };
    vec![
        PeerMessage::Records(RecordBatch {
            after: Some(StoreRevision(1)),
            upto: StoreRevision(9),
            records: records.chain([gone]).collect(),
        }),
        PeerMessage::Wanted {
            target: target.clone(),
            waiting: 3,
            order: ServiceOrder(10),
            max_wait: Duration::from_secs(5),
            soft_deadline: Some(Duration::from_millis(900)),
            refused: false,
        },
        PeerMessage::Wanted {
            target,
            waiting: 1,
            order: ServiceOrder(10),
            max_wait: Duration::from_secs(7),
            soft_deadline: None,
            refused: true,
        },
        PeerMessage::Used {
            target: ModelTarget { model: "maize".parse().unwrap(), adapter: None },
            arrived: 4,
            late: 1,
            run_time: Duration::from_millis(900),
            waited_for: true,
        },
        PeerMessage::View(view),
        PeerMessage::Suspects {
            upstream: "engine-1".parse().unwrap(),
            incarnation: Some(Incarnation(2)),
            requests: vec![Digest([5; 32])],
            alone: true,
        },
        PeerMessage::UpstreamsReached { reached: false },
        PeerMessage::UpstreamFull { upstream: "e1".parse().expect("the name is valid") },
        PeerMessage::UpstreamRests {
            upstream: "engine-1".parse().unwrap(),
            rest: Duration::from_millis(2500).into(),
        },
        PeerMessage::LossesNoted {
            upstream: "engine-1".parse().unwrap(),
            incarnation: Some(Incarnation(2)),
            requests: vec![Digest([5; 32]), Digest([6; 32])],
        },
    ]
}

fn credit_messages() -> Vec<PeerMessage> {
    let (account, cost): (AccountName, _) = ("orchard".parse().unwrap(), Credits(1540));
    let messages = [
        CreditMessage::SignOn { with_share: true },
        CreditMessage::SignedOn,
        CreditMessage::SignOff,
        CreditMessage::Wanted { ask: 7, account: account.clone(), cost },
        CreditMessage::Lent { ask: 7, account: account.clone(), cost, wait: Duration::from_micros(1500) },
        CreditMessage::Denied { ask: 7, retry_after: Some(Duration::from_micros(12_345)) },
        CreditMessage::Denied { ask: 7, retry_after: None },
        CreditMessage::Returned { account, cost },
    ];
    messages.into_iter().map(PeerMessage::Credit).collect()
}

fn slot_messages() -> Vec<PeerMessage> {
    let upstream: UpstreamId = "engine-1".parse().unwrap();
    let term = LendingTerm { number: 3, lender: "entry-2".parse().unwrap() };
    let number = ReportNumber { incarnation: Incarnation(7), number: 12 };
    let report = SlotReport {
        upstream: upstream.clone(),
        number,
        withstands: 4,
        needed_in: Duration::from_millis(1500),
        concurrency: 6,
        held: 2,
        wanted: 1,
        term: Some(term.clone()),
        received: 9,
    };
    let first = SlotReport { term: None, received: 0, ..report.clone() };
    let lent = SlotsLent { upstream: upstream.clone(), term: term.clone(), answered: number, total: 10 };
    let named = SlotMessage::Named { upstream, withstands: 4, needed_in: Duration::from_millis(700), term };
    let messages = [SlotMessage::Report(report), SlotMessage::Report(first), SlotMessage::Lent(lent), named];
    messages.into_iter().map(PeerMessage::Slot).collect()
}

fn notice_messages() -> Vec<PeerMessage> {
    let upstream: UpstreamId = "market-1".parse().unwrap();
    let term = Some(LendingTerm { number: 3, lender: "entry-2".parse().unwrap() });
    let limit = RejectionLimit {
        upstream: upstream.clone(),
        withstands: 4,
        needed_in: Duration::from_millis(700),
        term: None,
    };
    let limits = vec![limit.clone(), RejectionLimit { term, ..limit }];
    let known = KnownNotices { is_complete: true, limits, leaving: vec![upstream] };
    let messages = [NoticeMessage::Wanted, NoticeMessage::Known(known)];
    messages.into_iter().map(PeerMessage::Notice).collect()
}

fn stream_messages() -> Vec<PeerMessage> {
    let stream = StreamId(Digest([3; 32]));
    let software: Option<SoftwareVersion> = Some("v1.1".parse().unwrap());
    let destination = Some("drafts".parse().unwrap());
    let origins = [
        StreamOrigin::Kept(software.clone()),
        StreamOrigin::Kept(None),
        StreamOrigin::OnlyServed(software.clone()),
        StreamOrigin::Unknown,
        StreamOrigin::Served { versions: vec![software.clone(), None], is_complete: true },
    ];
    let known = origins.map(|origin| StreamMessage::Known { stream, origin });
    let messages = [
        StreamMessage::Begun { stream, software, kept: Duration::from_secs(24) },
        StreamMessage::Noted { stream },
        StreamMessage::Wanted { stream, destination, max_age: Duration::from_secs(9) },
    ];
    messages.into_iter().chain(known).map(PeerMessage::Stream).collect()
}

/// Guards against client accounts being lost, or their plain keys being exposed, when a catalogue is
/// passed between hosts.
#[test]
fn catalogue_with_client_accounts_survives_a_round_trip() {
    let account = Account {
        keys: [KeyDigest(Digest([0xab; 32]))].into(),
        priority: Some(1),
        unit: LimitUnit::Tokens { default_cost: Credits(200) },
        limit: Some(AccountLimit { rate: CreditRate(34_647_000), burst: Credits(34_647) }),
    };
    let mut configured = ConfiguredCatalogue { revision: CatalogueRevision(4), ..Default::default() };
    configured.catalogue.accounts.add("orchard".parse().unwrap(), account).unwrap();
    let value = StoredValue { writer: writer(), record: Record::Catalogue(Arc::new(configured)) };
    let json = value.to_json();
    assert_eq!(StoredValue::from_json(&Key::Catalogue, json.as_bytes()).unwrap(), value);
    insta::assert_snapshot!(json, @r#"{"writer":{"host":"entry-1","incarnation":7,"call":12},"value":{"revision":4,"models":{},"services":{},"routes":[],"caller_limits":null,"load_rate":null,"accounts":{"orchard":{"key_digests":["abababababababababababababababababababababababababababababababab"],"priority":1,"plain_tokens":200,"limit":{"per_kilosecond":34647000,"burst":34647}}}}}"#);
}

/// Returns a model of a pool.
fn model_of(pool: &str, name: &str) -> ModelName {
    name.parse::<ModelName>().unwrap().in_pool(&pool.parse().unwrap())
}

/// Guards against a pool that loses its models where another one lists models of the same names, when a
/// catalogue is passed between hosts.
#[test]
fn catalogue_with_models_of_one_name_survives_a_round_trip() {
    let model = |pool: &str| Model {
        version: "v1".parse().unwrap(),
        weights: Mebibytes(1000),
        kv_cache: Mebibytes(0),
        load_time: Duration::from_secs(6),
        copy_load_times: None,
        pool: Some(pool.parse().unwrap()),
        adapters: OrderedMap::new(),
    };
    let mut configured = ConfiguredCatalogue { revision: CatalogueRevision(4), ..Default::default() };
    for (pool, name) in [("writers", "owl"), ("twins", "owl"), ("writers", "elk")] {
        configured.catalogue.models.insert(model_of(pool, name), model(pool));
    }
    let value = StoredValue { writer: writer(), record: Record::Catalogue(Arc::new(configured)) };
    assert_eq!(StoredValue::from_json(&Key::Catalogue, value.to_json().as_bytes()).unwrap(), value);
}

/// Guards against processes of the version before that can't read what is said of the models of a single
/// pool, and against models of one name that are mixed up.
#[test]
fn keys_and_messages_name_the_pool_only_where_they_must() {
    let owl: ModelName = "owl".parse().unwrap();
    let twin = model_of("lh-models/next", "owl");
    assert_eq!(KeyText::from(&Key::Homes(owl.clone())).as_str(), "skylarkshore/shared/homes/owl");
    let key = KeyText::from(&Key::Homes(twin.clone()));
    assert_eq!(key.as_str(), "skylarkshore/shared/homes/lh-models%2Fnext/owl");
    assert_eq!(Key::try_from(&key).unwrap(), Key::Homes(twin.clone()));

    let used = |model: &ModelName| PeerMessage::Used {
        target: ModelTarget { model: model.clone(), adapter: None },
        arrived: 3,
        late: 1,
        run_time: Duration::from_millis(40),
        waited_for: false,
    };
    assert_eq!(decode(&encode(&used(&twin)).unwrap()).unwrap(), used(&twin));
    assert_ne!(encode(&used(&twin)).unwrap(), encode(&used(&owl)).unwrap());
    // The engine tells the pool.
    let held = |model: &ModelName| PeerMessage::LoadSlotHeld {
        upstream: "engine-1".parse().unwrap(),
        model: model.clone(),
    };
    assert_eq!(encode(&held(&twin)).unwrap(), encode(&held(&owl)).unwrap());
}

/// Guards against a message that says of a pool what is said of no model.
#[test]
fn a_pool_without_a_model_is_refused() {
    let message = Box::new(PeerMessageWire::StateWanted);
    let wire = PeerMessageWire::InPool { pool: "twins".parse().unwrap(), message };
    assert!(matches!(PeerMessage::try_from(wire), Err(InvalidMessage::NoModel)));
}

#[test]
fn messages_survive_a_round_trip() {
    let about_upstreams = slot_messages().into_iter().chain(notice_messages());
    for message in
        messages().into_iter().chain(credit_messages()).chain(stream_messages()).chain(about_upstreams)
    {
        assert_eq!(decode(&encode(&message).unwrap()).unwrap(), message);
    }
}

/// The receiver would reject a message that is too large, and a document in it would never come into
/// force there; the sender has to detect it.
#[test]
fn oversized_message_is_not_encoded() {
    let requests = vec![Digest([5; 32]); MAX_MESSAGE_LEN / 32];
    let refused = encode(&PeerMessage::SuspectsNoted { requests });
    assert!(matches!(refused, Err(InvalidMessage::TooLarge { .. })), "{refused:?}");
}

/// Guards against ages that are lost or shrink on the way, and against earlier versions that can't be understood.
#[test]
fn the_age_of_news_and_states_is_kept_and_may_be_missing() {
    let news = |age| {
        PeerMessage::News(News { after: StoreRevision(4), upto: StoreRevision(9), age, body: Arc::from([7]) })
    };
    let state = |age| {
        let (upto, body) = (StoreRevision(9), Arc::from([7]));
        PeerMessage::State(StatePart { series: 3, upto, age, part: 1, parts: 2, body })
    };
    for age in [None, Some(Duration::ZERO), Some(Duration::from_millis(1200))] {
        for message in [news(age), state(age)] {
            assert_eq!(decode(&encode(&message).unwrap()).unwrap(), message);
        }
    }
    let part_of_ms = Some(Duration::from_micros(1_200_001));
    let rounded_up = Some(Duration::from_millis(1201));
    assert_eq!(decode(&encode(&news(part_of_ms)).unwrap()).unwrap(), news(rounded_up));
}
