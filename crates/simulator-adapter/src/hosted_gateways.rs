//! The gateways that run in this process, each with its own state.

use crate::wire::input::{Batch, BatchPart, EventMessage, InputMessage, StartMessage};
use crate::wire::output::{OutputMessage, Reply, ReplyPart};
use crate::wire::TranslationError;
use irishinge_admission::{Action, Gateway, SettingsError};
use irishinge_settings::{Names, SettingsDocumentError, TranslatedSettings};
use std::collections::BTreeMap;

/// The reason why a batch could not be processed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BatchError {
    /// The line cannot be parsed as a batch, or the reply cannot be serialized.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A gateway's settings object cannot be translated.
    #[error("settings of {gateway_id}: {source}")]
    SettingsDocument {
        /// The simulator's id of the gateway that was to start.
        gateway_id: String,
        /// The reason why the settings object cannot be translated.
        source: SettingsDocumentError,
    },
    /// The admission library rejects a gateway's settings.
    #[error("settings of {gateway_id}: {source}")]
    Settings {
        /// The simulator's id of the gateway that was to start.
        gateway_id: String,
        /// What is missing or out of range in the settings.
        source: SettingsError,
    },
    /// An event names a gateway that is not running.
    #[error("event for {gateway_id}: the gateway is not running")]
    NotRunning {
        /// The simulator's id of the gateway that the event names.
        gateway_id: String,
    },
    /// An event cannot be translated for the admission library.
    #[error("event for {gateway_id}: {source}")]
    Event {
        /// The simulator's id of the gateway that the event names.
        gateway_id: String,
        /// The reason why the event cannot be translated.
        source: TranslationError,
    },
}

/// A running gateway.
struct HostedGateway {
    /// The gateway's state in the admission library.
    gateway: Gateway,
    /// The names that the gateway's settings give to classes, plans, zones and machine kinds.
    names: Names,
}

/// All running gateways of this process.
#[derive(Default)]
pub(crate) struct HostedGateways {
    /// The gateways by the simulator's id.
    gateways: BTreeMap<String, HostedGateway>,
}

impl HostedGateways {
    /// Delivers the messages of one line of input and returns the line of output that replies to it, without
    /// its newline.
    ///
    /// # Errors
    ///
    /// Fails if the line or one of its messages cannot be processed. Gateways may already have received the
    /// messages before that one.
    pub(crate) fn process_batch(&mut self, line: &str) -> Result<String, BatchError> {
        let batch: Batch = serde_json::from_str(line)?;
        let mut reply = Reply::default();
        for part in batch.parts {
            reply.parts.extend(self.process_part(batch.clock_ms, part)?);
        }
        Ok(serde_json::to_string(&reply)?)
    }

    /// Delivers one gateway's messages and returns its part of the reply, or `None` if the gateway takes no
    /// action.
    fn process_part(&mut self, now_ms: f64, part: BatchPart) -> Result<Option<ReplyPart>, BatchError> {
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

    /// Delivers one message and appends the actions that the gateway takes to `actions`.
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
                // A killed process writes nothing, so actions from earlier in this batch are dropped too.
                actions.clear();
                Ok(())
            }
            InputMessage::Event(event) => self.deliver_event(gateway_id, now_ms, event, actions),
        }
    }

    /// Starts a gateway, in place of one that may be running under this id.
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

    /// Delivers an event to a running gateway.
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
            .ok_or_else(|| BatchError::NotRunning { gateway_id: gateway_id.to_owned() })?;
        let event = message
            .into_event(&hosted.names)
            .map_err(|source| BatchError::Event { gateway_id: gateway_id.to_owned(), source })?;
        hosted.gateway.on_event(now_ms, event, actions);
        Ok(())
    }
}
