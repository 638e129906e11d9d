//! Client accounts at this process: credit for requests, and keys that are withdrawn while they wait.

use crate::accounts::Accounts;
use crate::cx::Cx;
use crate::effect::RefusalReason;
use crate::id::RequestId;
use crate::quota::{CreditDecision, CreditOutcome};
use crate::serving::Serving;
use crate::serving::decide::Step;
use crate::serving::request::{Due, Past, Request, State};
use crate::time::Time;

impl Serving {
    /// Asks for a request's credit before it is let in.
    pub(super) fn ask_credit(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(charge) = request.arrival.charge.clone() else { return self.admit(cx, id) };
        request.enter(State::AwaitingCredit { not_before: None }, cx.now);
        if let Some(decision) = self.quota.request_credit(cx, id, &charge) {
            self.on_ruling(cx, CreditOutcome { request: id, decision });
        }
    }

    /// Lets a request in whose credit is there, or refuses it.
    pub(super) fn on_ruling(&mut self, cx: &mut Cx<'_>, verdict: CreditOutcome) {
        let CreditOutcome { request: id, decision } = verdict;
        let Some(request) = self.requests.get_mut(&id) else { return };
        match decision {
            CreditDecision::Granted { not_before } => {
                request.has_credit = true;
                if not_before.is_due(cx.now) {
                    return self.admit(cx, id);
                }
                request.enter(State::AwaitingCredit { not_before: Some(not_before) }, cx.now);
                self.timers.insert(Due { at: not_before, request: id });
            }
            CreditDecision::OverLimit { retry_after } => {
                let step = Step::Refuse { reason: RefusalReason::OverLimit, retry_after: Some(retry_after) };
                self.advance(cx, id, step);
            }
            CreditDecision::TooLarge => {
                self.advance(cx, id, Step::Refuse { reason: RefusalReason::BeyondLimit, retry_after: None });
            }
        }
    }

    /// Lets a request in once its credit is there.
    pub(super) fn on_credit_due(&mut self, cx: &mut Cx<'_>, id: RequestId, not_before: Time) {
        if not_before.is_due(cx.now) {
            self.admit(cx, id);
        }
    }

    /// Gives back the credit of a request that ends and wasn't run.
    pub(super) fn settle_credit(&mut self, cx: &mut Cx<'_>, id: RequestId, request: &Request) {
        let Some(charge) = &request.arrival.charge else { return };
        if !request.has_credit {
            self.quota.cancel(id);
        } else if request.past == Past::Clean && request.has_not_begun() {
            self.quota.return_credit(cx, charge);
        }
    }

    /// Refuses the requests that wait here and whose keys have been withdrawn.
    pub(super) fn refuse_withdrawn(&mut self, cx: &mut Cx<'_>) {
        let accounts = &cx.document.catalogue.accounts;
        let found = self.requests.iter().filter(|(_, request)| request.is_waiting());
        let withdrawn: Vec<(RequestId, RefusalReason)> =
            found.filter_map(|(id, request)| Some((*id, withdrawal(accounts, request)?))).collect();
        for (id, reason) in withdrawn {
            self.advance(cx, id, Step::Refuse { reason, retry_after: None });
        }
    }
}

/// Tells why a request may not run under its key any more.
fn withdrawal(accounts: &Accounts, request: &Request) -> Option<RefusalReason> {
    let charge = request.arrival.charge.as_ref()?;
    if accounts.is_empty() {
        return None;
    }
    match accounts.find_by_key(&charge.key) {
        None => Some(RefusalReason::KeyWithdrawn),
        Some((holder, _)) if *holder != charge.account => Some(RefusalReason::AccountChanged),
        Some(_) => None,
    }
}
