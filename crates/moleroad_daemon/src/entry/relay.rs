//! Relays a streamed response to its caller, and resumes it on another replica if its
//! target interrupts it.

use crate::entry::caller::CallerRequest;
use crate::entry::requests::{RequestApi, TargetReply};
use crate::entry::stream::{EventSplitter, RelayEnd, TargetStream, relay_events};
use crate::http::exchange::error_json;
use crate::http::{Exchange, header};
use moleroad_routing::prelude::RequestShape;
use moleroad_types::prelude::*;

impl RequestApi {
    /// Relays a streamed response. It ends with its end marker only if the target's final
    /// event was received; otherwise with an error event and an invalid chunk.
    pub(super) fn relay_stream(
        &self,
        exchange: Exchange,
        request: &CallerRequest,
        target_stream: TargetStream,
    ) {
        let status = target_stream.status;
        let headers = [(header::REQUEST_ID.to_string(), request.request.to_string())];
        let Ok(mut stream) = exchange.stream(status, &target_stream.content_type, &headers) else {
            return;
        };
        let root = target_stream.dispatch.route.serves.root();
        let mut events = EventSplitter::default();
        let mut target_stream = target_stream;
        loop {
            let reason = match relay_events(&mut target_stream, &mut events, &mut stream) {
                RelayEnd::Complete => {
                    self.record_end(Some(request), status, None);
                    return stream.finish();
                }
                // Dropping the target's response cancels the request there.
                RelayEnd::CallerDisconnected => return,
                RelayEnd::Interrupted(reason) => reason,
            };
            let tried = [target_stream.dispatch.route.instance.clone()];
            drop(target_stream);
            match self.resume(request, root, events.relayed_events(), &tried) {
                Some(resumed) => target_stream = resumed,
                None => {
                    let error = MoleroadError::new(ResultCode::AnswerIncomplete, reason);
                    self.record_end(Some(request), status, Some(error.code));
                    let event = format!("event: error\ndata: {}\n\n", error_json(&error));
                    let _ = stream.send(event.as_bytes());
                    return;
                }
            }
        }
    }

    /// Resumes an interrupted stream on another replica of the same weights.
    fn resume(
        &self,
        request: &CallerRequest,
        root: Option<RootDigest>,
        relayed_events: u64,
        tried: &[InstanceId],
    ) -> Option<TargetStream> {
        if !request.repeatable || root.is_none() || !self.consume_retry_budget(request) {
            return None;
        }
        let shape = RequestShape {
            root,
            ..request.shape.clone()
        };
        let dispatch = self.choose(request, &shape, tried).ok()?;
        self.state.context.metrics.retries.inc();
        match self.attempt(request, dispatch, relayed_events) {
            Ok(TargetReply::Stream(target_stream)) => Some(*target_stream),
            _ => None,
        }
    }
}
