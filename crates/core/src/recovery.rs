//! What an earlier life left, taken up again.

use std::collections::BTreeMap;

use tansycroft::Time;
use tansycroft::api::EndpointId;

use crate::effect::{Effect, Record};
use crate::notice::{Closing, Notice, Origin};
use crate::reducer::{Core, FirstRun};

impl Core {
    pub(crate) fn on_recovered(&mut self, records: Vec<Record>) -> Vec<Effect> {
        let mut open: BTreeMap<String, (Notice, Time, Option<FirstRun>)> = BTreeMap::new();
        for record in records {
            match record {
                Record::Taken { id, class, station, partner, key, deadline, body, .. } => {
                    let deadline = Time(deadline);
                    let left = deadline - self.now;
                    let (spent, envelope, from) = (0, None, Origin::EarlierLife);
                    let notice = Notice {
                        id: id.clone(),
                        class,
                        station,
                        partner,
                        key,
                        body,
                        left,
                        spent,
                        envelope,
                        from,
                    };
                    open.insert(id, (notice, deadline, None));
                }
                Record::Sent { id, attempt, endpoint, at } => {
                    if let Some((notice, _, maybe_ran)) = open.get_mut(&id) {
                        notice.spent = notice.spent.max(attempt + 1);
                        maybe_ran.get_or_insert((Time(at), EndpointId(endpoint), attempt));
                    }
                }
                Record::Back { id, attempt, never_ran } => {
                    if let Some((.., maybe_ran)) = open.get_mut(&id) {
                        maybe_ran.take_if(|(.., number)| never_ran && *number == attempt);
                    }
                }
                Record::Closing { id, closing } => {
                    open.remove(&id);
                    self.remember(&id);
                    self.closing.insert(id, closing);
                }
                Record::Over { id, until } => {
                    open.remove(&id);
                    self.closing.remove(&id);
                    // A clock that was far ahead must not have an id remembered for ever.
                    let until = Time(until).min(self.now + self.longest());
                    self.ended.note(&id, until, self.now);
                }
            }
        }
        for (notice, deadline, maybe_ran) in open.into_values() {
            self.hold(notice, deadline, maybe_ran);
        }
        let report = |(id, &closing): (&String, &Closing)| Effect::Report { id: id.clone(), closing };
        self.closing.iter().map(report).collect()
    }
}
