//! The gateways that run in this process, each with state of its own.

use crate::wire::input::{Batch, BatchPart, EventMessage, InputMessage, StartMessage};
use crate::wire::output::{OutputMessage, Reply, ReplyPart};
use crate::wire::TranslationError;
use irishinge_admission::{Action, Gateway, SettingsError};
use irishinge_settings::{Names, SettingsDocumentError, TranslatedSettings};
use std::collections::BTreeMap;

/// Why a batch could not be answered.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BatchError {
    /// The line is not a batch, or the reply cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A gateway's settings object cannot be translated.
    #[error("settings of {gateway_id}: {source}")]
    SettingsDocument { gateway_id: String, source: SettingsDocumentError },
    /// A gateway's settings have a figure out of range.
    #[error("settings of {gateway_id}: {source}")]
    Settings { gateway_id: String, source: SettingsError },
    /// An event names a gateway that is not running.
    #[error("{gateway_id} was not started")]
    NotStarted { gateway_id: String },
    /// An event cannot be translated to the library's terms.
    #[error("event for {gateway_id}: {source}")]
    Event { gateway_id: String, source: TranslationError },
}

struct HostedGateway {
    gateway: Gateway,
    names: Names,
}

/// All running gateways of this process, by the simulator's id.
#[derive(Default)]
pub(crate) struct HostedGateways {
    gateways: BTreeMap<String, HostedGateway>,
}

impl HostedGateways {
    /// Delivers one line of input and returns the line of output that replies to it, without its newline.
    ///
    /// # Errors
    ///
    /// Fails if the line cannot be read. The gateways may then have received the beginning of the batch.
    pub(crate) fn answer(&mut self, line: &str) -> Result<String, BatchError> {
        let batch: Batch = serde_json::from_str(line)?;
        let mut reply = Reply::default();
        for part in batch.parts {
            reply.parts.extend(self.answer_part(batch.clock_ms, part)?);
        }
        Ok(serde_json::to_string(&reply)?)
    }

    /// Delivers one gateway's messages. A gateway that takes no action is absent from the reply.
    fn answer_part(&mut self, now_ms: f64, part: BatchPart) -> Result<Option<ReplyPart>, BatchError> {
        let mut actions = Vec::new();
        for message in part.messages {
            self.deliver(&part.gateway_id, now_ms, message, &mut actions)?;
        }
        if actions.is_empty() {
            return Ok(None);
        }
        let messages = actions.into_iter().map(OutputMessage::from).collect();
        Ok(Some(ReplyPart { gateway_id: part.gateway_id, messages }))
    }

    fn deliver(
        &mut self,
        gateway_id: &str,
        now_ms: f64,
        message: InputMessage,
        actions: &mut Vec<Action>,
    ) -> Result<(), BatchError> {
        match message {
            InputMessage::Start(start) => self.start(gateway_id, now_ms, start),
            InputMessage::Kill => {
                self.gateways.remove(gateway_id);
                // A process that was killed writes nothing any more, also of what it decided earlier in
                // this batch.
                actions.clear();
                Ok(())
            }
            InputMessage::Event(event) => self.deliver_event(gateway_id, now_ms, event, actions),
        }
    }

    fn start(&mut self, gateway_id: &str, now_ms: f64, start: StartMessage) -> Result<(), BatchError> {
        let TranslatedSettings { settings, names } = start
            .settings
            .translate()
            .map_err(|source| BatchError::SettingsDocument { gateway_id: gateway_id.to_owned(), source })?;
        let gateway = Gateway::new(settings, start.random_seed, now_ms)
            .map_err(|source| BatchError::Settings { gateway_id: gateway_id.to_owned(), source })?;
        self.gateways.insert(gateway_id.to_owned(), HostedGateway { gateway, names });
        Ok(())
    }

    fn deliver_event(
        &mut self,
        gateway_id: &str,
        now_ms: f64,
        message: EventMessage,
        actions: &mut Vec<Action>,
    ) -> Result<(), BatchError> {
        let hosted = self
            .gateways
            .get_mut(gateway_id)
            .ok_or_else(|| BatchError::NotStarted { gateway_id: gateway_id.to_owned() })?;
        let event = message
            .into_event(&hosted.names)
            .map_err(|source| BatchError::Event { gateway_id: gateway_id.to_owned(), source })?;
        hosted.gateway.on_event(now_ms, event, actions);
        Ok(())
    }
}
