//! The settings of a small deployment.

/// A class of messages.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    /// Messages with the same key keep their order.
    pub by_arrival: bool,
}

impl Class {
    fn json(&self) -> String {
        let Class { name, effect, by_arrival } = self;
        format!(
            r#"{{"name":"{name}","aim":4000000000,"deadline":20000000000,"effect":"{effect}","dedupScope":"all","window":20000000000,"byArrival":{by_arrival},"lateShare":0.4,"streaming":false,"worth":1.0}}"#
        )
    }
}

/// The settings object with these classes. `apart` says whether endpoints are routes apart.
pub fn json(classes: &[Class], apart: bool) -> String {
    let classes: Vec<String> = classes.iter().map(Class::json).collect();
    format!(
        r#"{{"classes":[{}],
 "clientHabits":{{"marksRetry":false}},
 "familyInfo":{{"callsOut":12,"kindApart":[{apart},{apart}],"losesWorth":"halving","perCall":[1,1],"refusedPrice":0.0,"zoneFee":[0.0]}},
 "index":0,"membershipMode":"push","models":["large","station"],"nInstances":2,"overShareWorth":0.2,
 "policyLimits":{{"attemptsCap":6,"cancel":true,"connIdle":15000000000,"connectTimeout":1500000000,"cpuUsPerRequest":0.0,"cpuUsPerS":490909,"maxRetryAfter":2000000000,"mostHeld":177,"multiplex":8,"peers":false,"probes":false,"retryAfter":true,"secondCopies":false}},
 "report":{{"columns":[],"how":"silent"}},
 "rules":{{"cold":9100000000,"coldFrom":0.23,"drainGrace":500000000,"fall":3000000000,"fallMultiple":1.5,"graceToAnswer":20000000,"keyQuiet":100000000,"mustAskIn":10000000000}},
 "tenants":[{{"name":"onda-central","quotaRps":30.0,"share":1.0}}],
 "tick":5000000,"tier":0,"tiers":["partners"],"weightKind":"rough","workload":"deliver","worthBy":"request","zone":0,"zones":["z"]}}"#,
        classes.join(",")
    )
}
