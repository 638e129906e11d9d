//! Ordered when-then rules, of which the first match applies. Start with [`Rules`].

use std::time::Duration;

use derive_more::{Display, Error};

use crate::collections::OrderedSet;
use crate::id::{AdapterName, CallerId, DataCentre, ModelName, ServiceName};

/// A percentage from 0 to 100.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{_0}%")]
pub struct Percent(u8);

/// The error for a number that is not a percentage.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("{value} is not a percentage; write a whole number from 0 to 100")]
pub struct InvalidPercent {
    value: u64,
}

impl TryFrom<u64> for Percent {
    type Error = InvalidPercent;

    fn try_from(value: u64) -> Result<Self, Self::Error> {
        u8::try_from(value).ok().filter(|p| *p <= 100).map(Self).ok_or(InvalidPercent { value })
    }
}

impl Percent {
    /// Returns the number from 0 to 100.
    pub const fn get(self) -> u8 {
        self.0
    }

    /// Returns `part` as a percentage of `whole`, at most 100; 0 if `whole` is 0.
    pub fn of(part: u64, whole: u64) -> Self {
        let share = part.saturating_mul(100).checked_div(whole).unwrap_or(0).min(100);
        Self(u8::try_from(share).unwrap_or(100))
    }
}

/// A minute of the day in UTC, from 0 to 1439.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{:02}:{:02}", _0 / 60, _0 % 60)]
pub struct MinuteOfDay(u16);

/// The error for a text that is not a time of day.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("'{text}' is not a time of day; write hours and minutes in UTC, for example 18:30")]
pub struct InvalidMinuteOfDay {
    text: String,
}

const MINUTES_PER_DAY: u64 = 24 * 60;

impl MinuteOfDay {
    /// Returns the minute of the day at `secs` seconds after the Unix epoch.
    pub fn from_unix_secs(secs: u64) -> Self {
        Self(u16::try_from(secs / 60 % MINUTES_PER_DAY).unwrap_or(0))
    }
}

impl std::str::FromStr for MinuteOfDay {
    type Err = InvalidMinuteOfDay;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let invalid = || InvalidMinuteOfDay { text: s.to_owned() };
        let (hours, minutes) = s.split_once(':').ok_or_else(invalid)?;
        let hours = hours.parse::<u16>().ok().filter(|h| *h < 24).ok_or_else(invalid)?;
        let minutes = minutes.parse::<u16>().ok().filter(|m| *m < 60).ok_or_else(invalid)?;
        Ok(Self(hours * 60 + minutes))
    }
}

/// A span of the day; one that ends before it starts includes midnight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hours {
    /// The first minute in the span.
    pub from: MinuteOfDay,
    /// The first minute after the span.
    pub to: MinuteOfDay,
}

impl Hours {
    fn contains(self, at: MinuteOfDay) -> bool {
        if self.from <= self.to {
            return self.from <= at && at < self.to;
        }
        at >= self.from || at < self.to
    }
}

/// The condition of a rule; an absent part always holds.
///
/// A part that refers to an unknown input doesn't hold; for example, the caller is unknown
/// when the number of replicas is decided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Condition {
    /// The base model is one of these.
    pub models: Option<OrderedSet<ModelName>>,
    /// The adapter is one of these.
    pub adapters: Option<OrderedSet<AdapterName>>,
    /// The caller is one of these.
    pub callers: Option<OrderedSet<CallerId>>,
    /// The service is one of these.
    pub services: Option<OrderedSet<ServiceName>>,
    /// The deciding process runs in one of these data centres.
    pub data_centres: Option<OrderedSet<DataCentre>>,
    /// The time of day is in this span.
    pub hours: Option<Hours>,
    /// At least this share of the site's power is granted to its engines.
    pub power_pressure: Option<Percent>,
    /// At least this share of the engines' memory is in use.
    pub memory_pressure: Option<Percent>,
    /// The model has had no request for at least this long.
    pub idle_for: Option<Duration>,
    /// At least this many requests wait for the model.
    pub queue_at_least: Option<u32>,
}

impl Condition {
    /// Reports whether the condition holds for the given input.
    pub fn holds(&self, input: &RuleInput<'_>) -> bool {
        names_one(self.models.as_ref(), input.model)
            && one_of(self.adapters.as_ref(), input.adapter)
            && one_of(self.callers.as_ref(), input.caller)
            && one_of(self.services.as_ref(), input.service)
            && one_of(self.data_centres.as_ref(), input.data_centre)
            && self.hours.is_none_or(|hours| input.at.is_some_and(|at| hours.contains(at)))
            && at_least(self.power_pressure, input.power_pressure)
            && at_least(self.memory_pressure, input.memory_pressure)
            && at_least(self.idle_for, input.idle_for)
            && at_least(self.queue_at_least, input.queue)
    }
}

fn one_of<T: Ord>(required: Option<&OrderedSet<T>>, known: Option<&T>) -> bool {
    required.is_none_or(|set| known.is_some_and(|value| set.contains(value)))
}

/// Reports whether the model is one of these; rules name models without their pool.
fn names_one(required: Option<&OrderedSet<ModelName>>, known: Option<&ModelName>) -> bool {
    required.is_none_or(|set| known.is_some_and(|model| set.contains(&model.without_pool())))
}

fn at_least<T: PartialOrd>(required: Option<T>, known: Option<T>) -> bool {
    match (required, known) {
        (None, _) => true,
        (Some(required), Some(known)) => known >= required,
        (Some(_), None) => false,
    }
}

/// The input that conditions are evaluated against; unknown values are absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuleInput<'a> {
    /// The base model.
    pub model: Option<&'a ModelName>,
    /// The adapter on it.
    pub adapter: Option<&'a AdapterName>,
    /// The caller of a request.
    pub caller: Option<&'a CallerId>,
    /// The plain service that a request is for; absent if it is for a model.
    pub service: Option<&'a ServiceName>,
    /// The data centre of the deciding process.
    pub data_centre: Option<&'a DataCentre>,
    /// The time of day.
    pub at: Option<MinuteOfDay>,
    /// The share of the site's power that is granted to its engines.
    pub power_pressure: Option<Percent>,
    /// The share of the engines' memory that is in use.
    pub memory_pressure: Option<Percent>,
    /// How long the model has had no request.
    pub idle_for: Option<Duration>,
    /// The number of requests that wait for the model.
    pub queue: Option<u32>,
}

/// The precedence when resources are short; lower numbers are served first.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceOrder(pub u16);

impl Default for ServiceOrder {
    fn default() -> Self {
        Self(RuleOutcome::DEFAULT_ORDER)
    }
}

/// When an idle replica is unloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleAfter {
    /// When the expected cost of a cold start no longer outweighs that of idling.
    Adaptive,
    /// After this long without a request.
    Fixed(Duration),
    /// Never, while the rule matches.
    Never,
}

/// The settings of a matching rule; every part has a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleOutcome {
    /// The fewest replicas that stay loaded, even without requests.
    pub replicas_min: u32,
    /// The most replicas that may be loaded.
    pub replicas_max: u32,
    /// When an idle replica is unloaded.
    pub idle_after: IdleAfter,
    /// The precedence when power, memory or loads are short.
    pub order: ServiceOrder,
    /// The reason with which requests are refused, if they are.
    pub refuse: Option<String>,
    /// The weight of a second that a caller waits for a cold start.
    pub cold_start_weight: u32,
    /// The weight of a second of accelerator idle time.
    pub idle_weight: u32,
}

impl RuleOutcome {
    /// The precedence if no rule sets one.
    pub const DEFAULT_ORDER: u16 = 100;
}

impl Default for RuleOutcome {
    fn default() -> Self {
        Self {
            replicas_min: 0,
            replicas_max: 1,
            idle_after: IdleAfter::Adaptive,
            order: ServiceOrder::default(),
            refuse: None,
            cold_start_weight: 1,
            idle_weight: 1,
        }
    }
}

/// One when-then rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The operators' name for it.
    pub name: String,
    /// When it matches.
    pub when: Condition,
    /// What it sets.
    pub then: RuleOutcome,
}

/// The result of evaluating the rules.
#[derive(Clone, Copy, Debug)]
pub struct RuleMatch<'a> {
    /// The first rule that matched; none if the defaults apply.
    pub rule: Option<&'a Rule>,
    /// The settings that apply.
    pub outcome: &'a RuleOutcome,
}

/// An ordered list of rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rules {
    /// The rules in order of evaluation.
    pub list: Vec<Rule>,
    /// The defaults if no rule matches.
    pub otherwise: RuleOutcome,
}

impl Rules {
    /// Returns the first rule that matches, or the defaults.
    pub fn decide(&self, input: &RuleInput<'_>) -> RuleMatch<'_> {
        let rule = self.list.iter().find(|rule| rule.when.holds(input));
        RuleMatch { rule, outcome: rule.map_or(&self.otherwise, |rule| &rule.then) }
    }
}

impl Condition {
    /// Reports whether this condition holds whenever `other` does.
    ///
    /// A rule whose condition is covered by that of an earlier rule can never match.
    pub fn covers(&self, other: &Self) -> bool {
        includes(self.models.as_ref(), other.models.as_ref())
            && includes(self.adapters.as_ref(), other.adapters.as_ref())
            && includes(self.callers.as_ref(), other.callers.as_ref())
            && includes(self.services.as_ref(), other.services.as_ref())
            && includes(self.data_centres.as_ref(), other.data_centres.as_ref())
            && self.hours.is_none_or(|hours| other.hours == Some(hours))
            && no_higher(self.power_pressure, other.power_pressure)
            && no_higher(self.memory_pressure, other.memory_pressure)
            && no_higher(self.idle_for, other.idle_for)
            && no_higher(self.queue_at_least, other.queue_at_least)
    }

    /// Reports whether the condition can never hold.
    pub fn is_unsatisfiable(&self) -> bool {
        is_empty(self.models.as_ref())
            || is_empty(self.adapters.as_ref())
            || is_empty(self.callers.as_ref())
            || is_empty(self.services.as_ref())
            || is_empty(self.data_centres.as_ref())
            || self.hours.is_some_and(|hours| hours.from == hours.to)
            // A request is either for a service or for a model.
            || (self.services.is_some() && (self.models.is_some() || self.adapters.is_some()))
    }
}

fn includes<T: Ord>(wide: Option<&OrderedSet<T>>, narrow: Option<&OrderedSet<T>>) -> bool {
    wide.is_none_or(|wide| narrow.is_some_and(|narrow| narrow.is_subset(wide)))
}

fn no_higher<T: PartialOrd>(wide: Option<T>, narrow: Option<T>) -> bool {
    wide.is_none_or(|wide| narrow.is_some_and(|narrow| wide <= narrow))
}

fn is_empty<T>(set: Option<&OrderedSet<T>>) -> bool {
    set.is_some_and(OrderedSet::is_empty)
}
