//! The part of [`Members`] that exchanges state by digest with one random member at a time.

use std::net::SocketAddr;

use foca::Member;
use rand::RngExt;

use super::{Due, Members, lock, swim};
use crate::anti_entropy::{self, Entries, MAX_PAGE_MEMBERS, Message};
use crate::digest::{BUCKETS, ShortHash, bucket_of};
use crate::member_table::{DOWN_ANNOUNCED, MAX_MEMBERS, MemberEntry};
use crate::seal::{DropReason, Kind};
use crate::settings::MAX_MESSAGE;
use crate::token_bucket::TrafficClass;
use crate::{Identity, State};

/// Exchanges a period while there are differences.
const EXCHANGES_PER_PERIOD: u32 = 3;
/// Sets asked for in one period, at most.
const MAX_REQUESTED: usize = 4;

impl Members {
    pub(super) fn exchange_due(&mut self) {
        if self.now >= self.keep_at {
            self.keep_at = self.now + self.set.period;
            self.requested.clear();
            self.notify_accused();
            self.keep_votes();
        }
        self.compare_with_random();
        let differed = std::mem::take(&mut self.differed);
        let pause = self.set.period / if differed { EXCHANGES_PER_PERIOD } else { 1 };
        self.after(pause, Due::AntiEntropy);
    }

    pub(super) fn compare_with_random(&mut self) {
        if self.token_bucket.allows(self.now, TrafficClass::Bulk)
            && let Some(peer) = self.random_peer()
        {
            self.compare_with(peer);
        }
    }

    pub(super) fn random_peer(&mut self) -> Option<SocketAddr> {
        let members = self.foca.num_members();
        let one = (members > 0).then(|| self.rng.random_range(0..members))?;
        self.foca.iter_members().nth(one).map(|m| m.id().at)
    }

    pub(super) fn compare_with(&mut self, peer: SocketAddr) {
        let compare = self.with_state(|state| state.compare());
        self.send_exchange(peer, &compare);
    }

    /// Our state as an exchange reads it.
    fn with_state<T>(&self, read: impl FnOnce(anti_entropy::State<'_>) -> T) -> T {
        let own = self.own_row();
        let votes = lock(&self.votes);
        let own_bucket = bucket_of(own.member.at);
        read(anti_entropy::State {
            now: self.now,
            own: &own,
            own_bucket,
            views: &self.views,
            votes: &votes,
            sets: &self.sets,
        })
    }

    fn own_row(&self) -> MemberEntry {
        MemberEntry {
            member: self.me().clone(),
            swim_incarnation: self.swim_incarnation,
            state: 0,
            down_for: 0,
        }
    }

    pub(super) fn send_exchange(&mut self, to: SocketAddr, message: &Message) {
        if let Ok(body) = postcard::to_stdvec(message) {
            self.send(Kind::AntiEntropy, to, &body);
        }
    }

    /// Bytes of an exchange's message that fit beside who it is from and for.
    fn room(&self) -> usize {
        let frame = postcard::to_stdvec(&(self.me(), self.me().at)).map_or(0, |bytes| bytes.len());
        MAX_MESSAGE.saturating_sub(frame)
    }

    pub(super) fn receive_exchange(
        &mut self,
        from: Identity,
        body: &[u8],
    ) -> Result<(), DropReason> {
        let (message, rest) =
            postcard::take_from_bytes::<Message>(body).map_err(|_| DropReason::Unreadable)?;
        if !rest.is_empty() {
            return Err(DropReason::Unreadable);
        }
        if !self.admit(&from) {
            // It is down here, or was: SWIM's own packets tell it so.
            return Ok(());
        }
        match message {
            Message::Compare { members, votes } => {
                let differs = self.with_state(|state| state.differs(members, votes));
                if let Some(differs) =
                    differs.filter(|_| self.token_bucket.allows(self.now, TrafficClass::Bulk))
                {
                    self.differed = true;
                    self.send_exchange(from.at, &differs);
                }
            }
            Message::Differs { members, votes } => {
                let (start, room) = (self.rng.random_range(0..BUCKETS), self.room());
                let entries = self.with_state(|state| state.push(&members, &votes, start, room));
                let entries = entries.ok_or(DropReason::Unreadable)?;
                self.differed = true;
                if self.token_bucket.allows(self.now, TrafficClass::Bulk) {
                    self.send_exchange(from.at, &Message::Entries(entries));
                }
            }
            Message::Entries(entries) => self.receive_entries(from.at, &entries)?,
            Message::WantSet { set, from: place } => {
                let page = self.sets.page(set, place, MAX_PAGE_MEMBERS);
                let page = page.filter(|(_, members)| !members.is_empty());
                if let Some((total, members)) =
                    page.filter(|_| self.token_bucket.allows(self.now, TrafficClass::Gossip))
                {
                    self.send_exchange(
                        from.at,
                        &Message::SetPage {
                            set,
                            total,
                            from: place,
                            members,
                        },
                    );
                }
            }
            Message::SetPage {
                set,
                total,
                from: place,
                members,
            } => {
                self.receive_page(from.at, set, total, place, &members);
            }
        }
        Ok(())
    }

    /// Whether to exchange with a member. One that isn't known yet is, from now on.
    fn admit(&mut self, from: &Identity) -> bool {
        let known = self.views.get(&from.at);
        match known {
            Some(view) if view.member.incarnation > from.incarnation => return false,
            Some(view) if view.member.incarnation == from.incarnation => {
                return view.state.is_active();
            }
            None if self.views.len() >= MAX_MEMBERS => return false,
            _ => {}
        }
        self.views_stale = true;
        let member = Member::alive(from.clone());
        self.foca
            .apply_many(std::iter::once(member), true, &mut self.runtime)
            .is_ok()
    }

    fn receive_entries(&mut self, from: SocketAddr, entries: &Entries) -> Result<(), DropReason> {
        if entries.members.iter().any(|row| row.state > 2) {
            return Err(DropReason::Unreadable);
        }
        // What is newer here is looked up first: afterwards nothing differs.
        let room = self.room();
        let answer = match entries.wanted {
            [0, 0] => None,
            _ => self.with_state(|state| state.pull(entries, room)),
        };
        self.apply_rows(&entries.members);
        self.apply_votes(from, entries);
        if let Some(answer) =
            answer.filter(|_| self.token_bucket.allows(self.now, TrafficClass::Bulk))
        {
            self.send_exchange(from, &Message::Entries(answer));
        }
        Ok(())
    }

    fn apply_rows(&mut self, rows: &[MemberEntry]) {
        let me = self.me().clone();
        let mut members = Vec::new();
        let mut known = self.views.len();
        for row in rows {
            let own = row.member.at == me.at;
            if own && row.member.incarnation > me.incarnation {
                self.rise_above(row.member.incarnation);
                continue;
            }
            let news = match self.views.get(&row.member.at) {
                _ if own => row.member.incarnation == me.incarnation && row.state > 0,
                Some(view) => MemberEntry::of(view).rank() < row.rank(),
                None => {
                    known += 1;
                    known <= MAX_MEMBERS
                }
            };
            if !news || row.state == 2 && swim::down_for(row) >= DOWN_ANNOUNCED {
                continue;
            }
            let state = match row.state {
                0 => foca::State::Alive,
                1 => foca::State::Suspect,
                _ => foca::State::Down,
            };
            self.down_for.insert(row.member.at, swim::down_for(row));
            members.push(Member::new(row.member.clone(), row.swim_incarnation, state));
        }
        if members.is_empty() {
            return;
        }
        self.views_stale = true;
        // Not broadcast: whoever lacks it will find out by its own exchanges.
        let _ = self
            .foca
            .apply_many(members.into_iter(), false, &mut self.runtime);
        self.drain_runtime();
        self.refresh_views();
    }

    fn apply_votes(&mut self, from: SocketAddr, entries: &Entries) {
        let (mine, mut wanted) = (self.my_hash(), Vec::new());
        let mut votes = lock(&self.votes);
        for row in entries
            .votes
            .iter()
            .filter(|row| row.voter != mine && self.views.is_announced(row.voter))
        {
            let Some(vote) = row.vote(&entries.sets) else {
                continue;
            };
            if votes.insert(row.voter, vote.clone()) {
                wanted.extend(vote.down);
            }
        }
        drop(votes);
        wanted.retain(|set| self.sets.next_page(*set).is_some());
        for set in wanted {
            self.holders.insert(set, from);
            self.want_set(from, set);
        }
    }

    /// Asks for the next page of a set, if it isn't whole here.
    pub(super) fn want_set(&mut self, from: SocketAddr, set: ShortHash) {
        let Some(place) = self.sets.next_page(set) else {
            return;
        };
        if self.requested.len() < MAX_REQUESTED && self.requested.insert(set) {
            self.send_exchange(from, &Message::WantSet { set, from: place });
        }
    }

    fn receive_page(
        &mut self,
        from: SocketAddr,
        set: ShortHash,
        total: u32,
        place: u32,
        page: &[ShortHash],
    ) {
        // Only what some vote names is kept.
        let named = lock(&self.votes)
            .iter()
            .any(|(_, vote)| vote.down == Some(set));
        if !named || page.len() > MAX_PAGE_MEMBERS {
            return;
        }
        if self.sets.add_page(set, total, place, page) {
            self.recount();
        } else if self.sets.next_page(set).is_some_and(|next| next > place) {
            self.requested.remove(&set);
            self.want_set(from, set);
        }
    }
}

impl MemberEntry {
    fn of(view: &crate::View) -> MemberEntry {
        let state = match view.state {
            State::Alive => 0,
            State::Suspect => 1,
            State::Down | State::Left => 2,
        };
        MemberEntry {
            member: view.member.clone(),
            swim_incarnation: view.swim_incarnation,
            state,
            down_for: 0,
        }
    }
}
