//! Credit for requests, which counts against the limits of their client accounts, and the refusal
//! of requests whose client account's key is withdrawn.

use crate::accounts::Accounts;
use crate::cx::Cx;
use crate::effect::RefusalReason;
use crate::id::RequestId;
use crate::quota::{CreditDecision, CreditOutcome};
use crate::serving::Serving;
use crate::serving::disposition::Disposition;
use crate::serving::request::{Due, Request, RunHistory, State};
use crate::time::Time;

impl Serving {
    /// Requests the credit that a request needs before it is admitted.
    pub(super) fn request_credit(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(charge) = request.arrival.charge.clone() else { return self.admit(cx, id) };
        request.set_state(State::AwaitingCredit { not_before: None }, cx.now);
        if let Some(decision) = self.quota.request_credit(cx, id, &charge) {
            self.on_credit_decision(cx, CreditOutcome { request: id, decision });
        }
    }

    /// Admits a request whose credit was granted, or refuses it.
    pub(super) fn on_credit_decision(&mut self, cx: &mut Cx<'_>, outcome: CreditOutcome) {
        let CreditOutcome { request: id, decision } = outcome;
        let Some(request) = self.requests.get_mut(&id) else { return };
        match decision {
            CreditDecision::Granted { not_before } => {
                request.has_credit = true;
                if not_before.is_due(cx.now) {
                    return self.admit(cx, id);
                }
                request.set_state(State::AwaitingCredit { not_before: Some(not_before) }, cx.now);
                self.timers.insert(Due { at: not_before, request: id });
            }
            CreditDecision::OverLimit { retry_after } => {
                let disposition =
                    Disposition::Refuse { reason: RefusalReason::OverLimit, retry_after: Some(retry_after) };
                self.apply_disposition(cx, id, disposition);
            }
            CreditDecision::TooLarge => {
                self.apply_disposition(
                    cx,
                    id,
                    Disposition::Refuse { reason: RefusalReason::BeyondLimit, retry_after: None },
                );
            }
        }
    }

    /// Admits a request once its credit is available.
    pub(super) fn on_credit_due(&mut self, cx: &mut Cx<'_>, id: RequestId, not_before: Time) {
        if not_before.is_due(cx.now) {
            self.admit(cx, id);
        }
    }

    /// Returns the credit of a request that ends without having run.
    pub(super) fn settle_credit(&mut self, cx: &mut Cx<'_>, id: RequestId, request: &Request) {
        let Some(charge) = &request.arrival.charge else { return };
        if !request.has_credit {
            self.quota.cancel(id);
        } else if request.history == RunHistory::NeverRan && request.has_no_run() {
            self.quota.return_credit(cx, charge);
        }
    }

    /// Refuses the waiting requests whose client account's key has been withdrawn or given to another
    /// account.
    pub(super) fn refuse_withdrawn_account_keys(&mut self, cx: &mut Cx<'_>) {
        let accounts = &cx.document.catalogue.accounts;
        let found = self.requests.iter().filter(|(_, request)| request.is_waiting());
        let withdrawn: Vec<(RequestId, RefusalReason)> =
            found.filter_map(|(id, request)| Some((*id, withdrawal(accounts, request)?))).collect();
        for (id, reason) in withdrawn {
            self.apply_disposition(cx, id, Disposition::Refuse { reason, retry_after: None });
        }
    }
}

/// Returns why a request may no longer run under its client account's key.
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
