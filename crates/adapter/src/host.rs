//! The instance map: wire ids to handles and back, one balancer for each instance.

use crate::wire::{self, Item, Order, Reply};
use pumiceway_decisions::Balancer;
use pumiceway_decisions::api::*;
use pumiceway_decisions::settings::Conf;
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
}

struct Instance {
    balancer: Balancer,
    names: Names,
    next_wake: u64,
    actions: Vec<Action>,
}

/// What the wire's names mean to one instance.
struct Names {
    conf: Conf,
    worker_handles: HashMap<Box<str>, WorkerId>,
    workers: Vec<Box<str>>,
    request_handles: HashMap<Box<str>, RequestId>,
    requests: HashMap<RequestId, Open>,
    next_request: u64,
    touched: Vec<RequestId>,
}

/// A request that the balancer may still name.
struct Open {
    id: Box<str>,
    attempts_out: usize,
    ended: bool,
}

impl Host {
    /// Plays one batch and appends the reply.
    pub fn batch(&mut self, line: &str, reply: &mut Vec<u8>) -> Result<(), String> {
        let batch: wire::Batch = serde_json::from_str(line).map_err(|e| format!("not a batch: {e}"))?;
        let mut orders = Vec::new();
        for item in &batch.items {
            self.item(batch.now, item, &mut orders)?;
        }
        serde_json::to_writer(reply, &Reply { orders }).map_err(|e| format!("reply: {e}"))
    }

    fn item(&mut self, now: u64, item: &Item, orders: &mut Vec<Order<'static>>) -> Result<(), String> {
        let i = match item {
            Item::Boot(boot) => {
                let instance = Instance::boot(boot).map_err(|e| format!("instance {}: {e}", boot.i))?;
                self.instances.insert(boot.i, instance);
                return Ok(());
            }
            Item::Shutdown(only) => {
                let known = self.instances.remove(&only.i).is_some();
                return known.then_some(()).ok_or(format!("shutdown of unknown instance {}", only.i));
            }
            Item::Announce(e) => e.i,
            Item::Knock(e) => e.i,
            Item::Established(e) => e.i,
            Item::UpdateOf(e) => e.i,
            Item::Response(e) => e.i,
            Item::Abandoned(e) => e.i,
            Item::Elapsed(e) => e.i,
            Item::Probed(e) => e.i,
            Item::Whisper(e) => e.i,
        };
        let instance = self.instances.get_mut(&i).ok_or(format!("event for unknown instance {i}"))?;
        instance.event(now, item, i, orders).map_err(|e| format!("instance {i}: {e}"))
    }
}

impl Instance {
    fn boot(boot: &wire::Boot) -> Result<Instance, String> {
        let names = Names::new(&boot.conf);
        let settings = boot.conf.settings().map_err(|e| e.to_string())?;
        let balancer = Balancer::new(settings, boot.entropy).map_err(|e| e.to_string())?;
        Ok(Instance { balancer, names, next_wake: 0, actions: Vec::new() })
    }

    fn event(
        &mut self,
        now: u64,
        item: &Item,
        i: u64,
        orders: &mut Vec<Order<'static>>,
    ) -> Result<(), String> {
        let names = &mut self.names;
        let out = &mut self.actions;
        out.clear();
        match item {
            Item::Announce(e) => {
                let mut entries = Vec::with_capacity(e.members.len());
                for m in &e.members {
                    entries.push(names.entry(m)?);
                }
                let kind = match e.how {
                    wire::How::Incr => ListKind::Changes,
                    wire::How::Total => ListKind::Whole,
                    wire::How::WarmCopy => ListKind::Bootstrap,
                    wire::How::Lost => ListKind::Lost,
                };
                self.balancer.handle(now, Event::List { kind, entries: &entries }, out);
            }
            Item::Knock(e) => {
                let class = ClassId(names.conf.class(&e.qos).ok_or(format!("unknown class {}", e.qos))?);
                let request = names.open(&e.corr)?;
                let event = Event::Request(Incoming {
                    request,
                    class,
                    left: e.left_us,
                    slots: e.slots.unwrap_or(1.0),
                    memory: e.mem_needed.unwrap_or(0.0),
                    work: e.expected_us,
                    tenant: e.team.as_ref().and_then(|t| names.conf.tenant(t.as_str()?)),
                    key: e.path_key,
                });
                self.balancer.handle(now, event, out);
            }
            Item::UpdateOf(e) => {
                let worker = names.worker(&e.worker)?;
                let note = match e.sort {
                    1 => Note::Started,
                    2 => Note::Progress(e.x),
                    _ => return Ok(()),
                };
                if let Some(&request) = names.request_handles.get(&*e.corr) {
                    self.balancer.handle(
                        now,
                        Event::Note(Progress { request, attempt: e.shot, worker, note }),
                        out,
                    );
                }
            }
            Item::Response(e) => {
                let worker = names.worker(&e.worker)?;
                if let Some(&request) = names.request_handles.get(&*e.corr) {
                    let event = Event::Outcome(Outcome {
                        request,
                        attempt: e.shot,
                        worker,
                        status: status(e.reason),
                        latency: e.spent_us,
                        closed: e.closed,
                        report: names.report(e.stats.as_deref()),
                    });
                    names.settle(request, true, e.closed);
                    self.balancer.handle(now, event, out);
                }
            }
            Item::Abandoned(e) => {
                if let Some(&request) = names.request_handles.get(&*e.corr) {
                    names.settle(request, false, true);
                    self.balancer.handle(now, Event::Gone { request }, out);
                }
            }
            Item::Elapsed(e) => {
                if e.nonce == self.next_wake {
                    self.balancer.handle(now, Event::Wake, out);
                }
            }
            Item::Probed(e) => {
                let worker = names.worker(&e.worker)?;
                let report = names.report(e.stats.as_deref());
                let probed = Probed { worker, status: status(e.reason), latency: e.spent_us, report };
                self.balancer.handle(now, Event::Probed(probed), out);
            }
            // Established belongs to streamed classes, whispers to deployments that allow them: neither
            // carries anything that the decisions use.
            Item::Established(_) | Item::Whisper(_) => {}
            Item::Boot(_) | Item::Shutdown(_) => unreachable!("handled by the host"),
        }
        for action in self.actions.drain(..) {
            orders.push(self.names.order(i, action, &mut self.next_wake)?);
        }
        self.names.sweep();
        Ok(())
    }
}

fn named<'a>(name: &'a Option<Cow<str>>) -> &'a str {
    name.as_deref().unwrap_or_default()
}

fn status(reason: wire::Reason) -> Status {
    match reason {
        wire::Reason::Pass => Status::Ok,
        wire::Reason::Fault => Status::Error,
        wire::Reason::NoRoom => Status::Full,
        wire::Reason::TooSlow => Status::Timeout,
        wire::Reason::NoRoute => Status::ConnectFailed,
        wire::Reason::Cut => Status::Reset,
        wire::Reason::Undone => Status::Cancelled,
        wire::Reason::StaleSend => Status::Moot,
    }
}

impl Names {
    fn new(conf: &Conf) -> Names {
        Names {
            conf: conf.clone(),
            worker_handles: HashMap::new(),
            workers: Vec::new(),
            request_handles: HashMap::new(),
            requests: HashMap::new(),
            next_request: 0,
            touched: Vec::new(),
        }
    }

    fn entry<'a>(&mut self, m: &'a wire::Member) -> Result<Entry<'a>, String> {
        let worker = *self.worker_handles.entry((&*m.worker).into()).or_insert_with(|| {
            self.workers.push((&*m.worker).into());
            WorkerId(self.workers.len() as u32 - 1)
        });
        Ok(Entry {
            worker,
            id: &m.worker,
            zone: self
                .conf
                .zone(m.campus.as_deref())
                .ok_or_else(|| format!("unknown zone {}", named(&m.campus)))?,
            kind: self
                .conf
                .kind(m.sku.as_deref())
                .ok_or_else(|| format!("unknown kind {}", named(&m.sku)))?,
            cell: m.cohort,
            state: match m.availability {
                wire::Availability::Healthy => WorkerState::Ready,
                wire::Availability::Cordoned => WorkerState::Draining,
                wire::Availability::Deregistered => WorkerState::Gone,
            },
            ready_at: m.ready_at_us,
            size: self.conf.size(m.units),
            warm: false,
            jobs: None,
        })
    }

    fn worker(&self, id: &str) -> Result<WorkerId, String> {
        self.worker_handles.get(id).copied().ok_or(format!("unknown worker {id}"))
    }

    fn open(&mut self, id: &str) -> Result<RequestId, String> {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        if self.request_handles.insert(id.into(), request).is_some() {
            return Err(format!("request {id} came twice"));
        }
        self.requests.insert(request, Open { id: id.into(), attempts_out: 0, ended: false });
        Ok(request)
    }

    fn report(&self, stats: Option<&[f64]>) -> Option<Report> {
        let names = self.conf.report.fields.iter().map(String::as_str);
        Some(Conf::report(names.zip(stats?.iter().copied())))
    }

    /// Books the end of an attempt or of a request; the id is kept until both are over.
    fn settle(&mut self, request: RequestId, attempt_over: bool, ended: bool) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.attempts_out = open.attempts_out.saturating_sub(usize::from(attempt_over));
            open.ended |= ended;
        }
        self.touched.push(request);
    }

    fn order(&mut self, i: u64, action: Action, next_wake: &mut u64) -> Result<Order<'static>, String> {
        let worker = |names: &Names, w: WorkerId| Cow::Owned(names.workers[w.0 as usize].to_string());
        Ok(match action {
            Action::Send { request, worker: w, timeout } => {
                let corr = self.id(request, 1, false)?;
                Order::PassOn { i, corr, allow_for_us: timeout, worker: worker(self, w) }
            }
            Action::Cancel { request, attempt } => {
                Order::AbortAttempt { i, corr: self.id(request, 0, false)?, shot: attempt }
            }
            Action::Refuse { request, retry_after } => {
                Order::Decline { i, corr: self.id(request, 0, true)?, cool_down_us: retry_after }
            }
            Action::Fail { request } => Order::DropRequest { i, corr: self.id(request, 0, true)? },
            Action::Probe { worker: w } => Order::HealthCheck { i, worker: worker(self, w) },
            Action::Disconnect { worker: w } => Order::HangUp { i, worker: worker(self, w) },
            Action::Subscribe => Order::Track { i, active: true },
            Action::Wake { after } => {
                *next_wake += 1;
                Order::Sleep { i, after_us: after, nonce: *next_wake }
            }
            Action::Log(message) => Order::SayLog { i, message },
        })
    }

    fn id(&mut self, request: RequestId, sent: usize, ended: bool) -> Result<Cow<'static, str>, String> {
        let open = self.requests.get_mut(&request).ok_or("an action names an ended request")?;
        open.attempts_out += sent;
        open.ended |= ended;
        let id = open.id.to_string();
        if ended {
            self.touched.push(request);
        }
        Ok(Cow::Owned(id))
    }

    fn sweep(&mut self) {
        for request in self.touched.drain(..) {
            if self.requests.get(&request).is_some_and(|o| o.ended && o.attempts_out == 0)
                && let Some(open) = self.requests.remove(&request)
            {
                self.request_handles.remove(&open.id);
            }
        }
    }
}
