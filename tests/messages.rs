//! Every message between boxes survives its journey, and no bytes make a box fall over.

use magpiemoor::keyed::daemon::callers::parse::{event_id, parse_cursor};
use magpiemoor::keyed::daemon::peers::{
    decode_envelope, decode_heartbeat, encode_frame, encode_heartbeat,
};
use magpiemoor::keyed::node::event::StreamId;
use magpiemoor::schema::*;
use proptest::prelude::*;

fn request() -> Request {
    Request {
        key: "north~key".parse().unwrap(),
        first: true,
        organisation: "shop".parse().unwrap(),
        priority: Priority::Quick,
        deadline: Some(Millis(5)),
        body_hash: 7,
        kind: RequestKind::Generate(GenerateRequest {
            model: "drafter".parse().unwrap(),
            adapter: Some("formal".parse().unwrap()),
            prompt: "prompt".to_owned(),
            max_tokens: 9,
        }),
    }
}

fn call() -> Request {
    let kind = RequestKind::Call(CallRequest {
        service: "till".parse().unwrap(),
        call: "redeem".parse().unwrap(),
        body: "{}".to_owned(),
        repeatable: false,
    });
    Request {
        kind,
        deadline: None,
        ..request()
    }
}

fn member() -> Member {
    Member {
        id: "box-1".parse().unwrap(),
        incarnation: Incarnation(3),
        address: "127.0.0.1:1".to_owned(),
    }
}

fn refusal() -> Refusal {
    Refusal {
        ran: Ran::Unknown,
        reason: Reason::StartOver,
        retry_after: None,
        detail: "why".to_owned(),
    }
}

/// One of each message, and of each variant inside.
#[allow(clippy::too_many_lines)] // It is a list.
fn all_messages() -> Vec<PeerMessage> {
    let key: RequestKey = "north~key".parse().unwrap();
    let cursor = Cursor {
        generation: Generation(1),
        offset: TokenOffset(2),
        digest: AnswerDigest(3),
    };
    let tokens = vec![Token {
        id: 1,
        text: " a".to_owned(),
    }];
    let note = SliceNote {
        slice: SliceId(1),
        epoch: Epoch(2),
        home: "box-1".parse().unwrap(),
        incarnation: Incarnation(3),
        term: 4,
        records: 5,
        synced: true,
        unknown_for: Millis(6),
    };
    let ask = SliceAsk {
        slice: SliceId(1),
        epoch: Epoch(2),
        home: "box-1".parse().unwrap(),
        incarnation: Incarnation(3),
        term: 4,
    };
    let submit = |request, cursor| {
        let receiver = member();
        PeerMessage::Submit(Submit {
            request,
            cursor,
            receiver,
            subscription: 1,
            repeated: true,
            hops: 2,
        })
    };
    let record = |state| OnceRecord {
        key: key.clone(),
        body_hash: 1,
        state,
    };
    let answer = ServiceAnswer {
        status: 200,
        body: "{}".to_owned(),
    };
    let once = |state| {
        PeerMessage::OnceCopy(OnceCopy {
            record: record(state),
            epoch: Epoch(1),
            batch: false,
        })
    };
    let text = DeferredText {
        tokens: 1,
        digest: AnswerDigest(2),
        text: "text".to_owned(),
    };
    let status = |status| {
        PeerMessage::LookupReply(LookupReply {
            subscription: 1,
            status,
        })
    };
    let batch: BatchId = "batch".parse().unwrap();
    vec![
        submit(request(), Some(cursor)),
        submit(call(), None),
        PeerMessage::Output(Output {
            subscription: 1,
            generation: Generation(1),
            offset: TokenOffset(2),
            digest: AnswerDigest(3),
            tokens: tokens.clone(),
            finish: Some(Finish::Length),
        }),
        PeerMessage::Refused(Refused {
            subscription: 1,
            refusal: refusal(),
        }),
        PeerMessage::Answered(Answered {
            subscription: 1,
            answer: answer.clone(),
        }),
        PeerMessage::Detach(Detach {
            key: key.clone(),
            subscription: 1,
        }),
        PeerMessage::Moved(Moved {
            subscription: 1,
            to: None,
        }),
        PeerMessage::TokenCopy(TokenCopy {
            request: Some(request()),
            key: key.clone(),
            generation: Generation(1),
            offset: TokenOffset(2),
            tokens,
            mark: Some(AttemptMark {
                attempt: Attempt(1),
                endpoint: "engine".parse().unwrap(),
                stream: "s.1.1".to_owned(),
            }),
            finish: None,
            handover: true,
        }),
        PeerMessage::TokenAck(TokenAck {
            key: key.clone(),
            generation: Generation(1),
            held: TokenOffset(2),
            finished: false,
        }),
        PeerMessage::TokenRefused(TokenRefused {
            key: key.clone(),
            generation: Generation(1),
            held: TokenOffset(2),
        }),
        once(OnceState::Intent),
        once(OnceState::NotRun),
        once(OnceState::Unknown),
        once(OnceState::Answered(answer)),
        PeerMessage::OnceAck(OnceAck {
            key: key.clone(),
            epoch: Epoch(1),
            answered: true,
            accepted: false,
        }),
        PeerMessage::SliceSync(note.clone()),
        PeerMessage::SliceSynced(note.clone()),
        PeerMessage::ReleaseAsk(ask.clone()),
        PeerMessage::Released(note.clone()),
        PeerMessage::WithdrawAsk(ask),
        PeerMessage::Withdrawn(note),
        PeerMessage::Defer(Defer {
            receiver: member(),
            subscription: 1,
            request: request(),
            hops: 0,
        }),
        PeerMessage::DeferReply(DeferReply {
            subscription: 1,
            kept: Kept::TwoDomains,
        }),
        PeerMessage::Hold(Hold {
            batch: batch.clone(),
            domain: "north".parse().unwrap(),
            items: vec![request()],
        }),
        PeerMessage::HoldReply(HoldReply {
            batch: batch.clone(),
        }),
        PeerMessage::HoldDone(HoldDone { batch }),
        PeerMessage::RunDeferred(RunDeferred {
            request: request(),
            scribe: "box-2".parse().unwrap(),
        }),
        PeerMessage::DeferredDone(DeferredDone {
            key: key.clone(),
            result: DeferredResult::Text(text.clone()),
        }),
        PeerMessage::DeferredDone(DeferredDone {
            key: key.clone(),
            result: DeferredResult::Failed(refusal()),
        }),
        PeerMessage::Lookup(Lookup {
            receiver: member(),
            subscription: 1,
            key,
            hops: 1,
        }),
        status(DeferredStatus::Missing),
        status(DeferredStatus::Accepted),
        status(DeferredStatus::Done(DeferredResult::Text(text))),
        PeerMessage::BundleFetch(BundleFetch {
            version: BundleVersion(1),
            have: vec!["ab".parse().unwrap()],
        }),
        PeerMessage::BundleReply(BundleReply {
            version: BundleVersion(1),
            manifest: "{}".to_owned(),
            parts: vec![BundlePart {
                hash: "ab".parse().unwrap(),
                body: "[]".to_owned(),
            }],
        }),
    ]
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        from: "box-1".parse().unwrap(),
        incarnation: Incarnation(1),
        domain: "north".parse().unwrap(),
        address: "127.0.0.1:1".to_owned(),
        sequence: 2,
        epoch: Epoch(3),
        bundle: Some(BundleMark {
            version: BundleVersion(4),
            hash: "ab".parse().unwrap(),
        }),
        stopping: false,
        clock: HybridTime(5),
        ask: Some(PromiseAsk {
            asked: Micros(6),
            epoch: Epoch(3),
        }),
        grants: vec![PromiseGrant {
            to: "box-2".parse().unwrap(),
            asked: Micros(7),
            epoch: Epoch(3),
            span: Millis(8),
        }],
        loads: vec![LoadReport {
            endpoint: "engine".parse().unwrap(),
            running: 1,
            queued: 2,
            model_version: 3,
            leaving: true,
        }],
        leaving: vec!["engine".parse().unwrap()],
    }
}

#[test]
fn every_message_survives_its_journey() {
    for message in all_messages() {
        let envelope = Envelope {
            from: "box-1".parse().unwrap(),
            incarnation: Incarnation(1),
            clock: HybridTime(2),
            message,
        };
        let frame = encode_frame(&envelope);
        let length = u32::from_le_bytes(frame[..4].try_into().unwrap()) as usize;
        assert_eq!(length, frame.len() - 4);
        assert_eq!(decode_envelope(&frame[4..]).as_ref(), Some(&envelope));
    }
}

#[test]
fn a_heartbeat_survives_its_journey() {
    let datagram = encode_heartbeat(&heartbeat());
    assert_eq!(decode_heartbeat(&datagram), Some(heartbeat()));
    let mut other_version = datagram;
    other_version[0] += 1;
    assert_eq!(decode_heartbeat(&other_version), None);
}

proptest! {
    #[test]
    fn no_bytes_make_the_decoders_fall_over(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = decode_envelope(&bytes);
        let _ = decode_heartbeat(&bytes);
    }

    #[test]
    fn damaged_messages_do_not_either(place in 0..39_usize, at in any::<usize>(), flip in 1..=255_u8) {
        let all = all_messages();
        let message = all[place % all.len()].clone();
        let envelope = Envelope {
            from: "box-1".parse().unwrap(),
            incarnation: Incarnation(1),
            clock: HybridTime(2),
            message,
        };
        let mut body = encode_frame(&envelope)[4..].to_vec();
        let at = at % body.len();
        body[at] ^= flip;
        let _ = decode_envelope(&body);
        let _ = decode_envelope(&body[..at]);
    }

    #[test]
    fn a_cursor_survives_its_journey(generation: u32, offset: u32, digest: u64) {
        let text = event_id(Generation(generation), TokenOffset(offset), AnswerDigest(digest));
        let cursor = parse_cursor(&text).unwrap();
        prop_assert_eq!((cursor.generation.0, cursor.offset.0, cursor.digest.0), (generation, offset, digest));
    }

    #[test]
    fn no_text_makes_the_parsers_fall_over(text in ".{0,80}") {
        let _ = parse_cursor(&text);
        let _ = text.parse::<StreamId>();
        let _ = magpiemoor::settings::file::parse(&text);
        let _ = magpiemoor::keyed::bundle::check::parse(&text);
    }
}

#[test]
fn a_streams_name_survives_its_journey() {
    let id = StreamId {
        key: "north~a.b.c".parse().unwrap(),
        generation: Generation(4097),
        attempt: Attempt(2),
    };
    assert_eq!(id.to_string().parse::<StreamId>().unwrap(), id);
}
