//! Calls to the shared counter, one at a time for each customer.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::policy::quota_counter::COUNT_EPOCH_MS;
use crate::state::customer::{count_now, Call};
use crate::state::request::QuotaState;

impl Gateway {
    /// Makes a customer's next call. It has one out at a time, so that each answer belongs to one question.
    pub(crate) fn call_counter(&mut self, tag: u64, actions: &mut Vec<Action>) {
        let (name, _) = count_now(tag, self.clock.now_ms);
        let Some(customer) = self.customers.by_tag.get_mut(&tag) else { return };
        let count = &mut customer.count;
        while count.calling.is_none() {
            let call = match count.queue.pop_front() {
                // Its client has gone, or its time is over.
                Some(Call::Ask { id, .. })
                    if !self
                        .requests
                        .active
                        .get(&id)
                        .is_some_and(|o| !o.answered && o.quota == QuotaState::AwaitingCounter) =>
                {
                    continue
                }
                Some(call) => call,
                None if count.owed != 0.0 => Call::Settle,
                None => return,
            };
            let more = match call {
                Call::Ask { takes, .. } => takes,
                Call::Raise { by, .. } => by,
                Call::Settle => 0.0,
            };
            let owed = std::mem::take(&mut count.owed);
            count.calling = Some((call, owed));
            self.quota_counter.calls.insert(name, tag);
            actions.push(Action::AddToCounter { name, amount: more + owed, ttl_ms: COUNT_EPOCH_MS });
        }
    }
}
