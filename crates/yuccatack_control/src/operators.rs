//! The operators' service: converts calls into messages to the control actor and back.

use ractor::ActorRef;
use tonic::{Request, Response, Status};
use yuccatack_core::prelude::*;
use yuccatack_records::generated::records as wire;
use yuccatack_records::generated::records::operators_server::Operators;
use yuccatack_records::{Change, ChangeOutcome, RecordKind};

use crate::call::{ask, invalid};
use crate::message::{ControlMessage, Query, QueryAnswer};

/// Serves operators through the control actor.
#[derive(Clone, Debug)]
pub struct OperatorsService {
    actor: ActorRef<ControlMessage>,
}

impl OperatorsService {
    /// A service in front of `actor`.
    pub fn new(actor: ActorRef<ControlMessage>) -> Self {
        Self { actor }
    }

    async fn read(&self, query: Query) -> Result<QueryAnswer, Status> {
        ask(&self.actor, |reply| ControlMessage::Read { query, reply }).await
    }
}

#[tonic::async_trait]
impl Operators for OperatorsService {
    async fn submit_change(
        &self,
        request: Request<wire::SubmitChangeRequest>,
    ) -> Result<Response<wire::SubmitChangeResponse>, Status> {
        let change = match Change::try_from(request.into_inner()) {
            Ok(change) => change,
            Err(refusal) => return Ok(Response::new((&ChangeOutcome::Refused(refusal)).into())),
        };
        let outcome =
            ask(&self.actor, |reply| ControlMessage::SubmitChange { change, reply }).await?;
        Ok(Response::new((&outcome).into()))
    }

    async fn read_record(
        &self,
        request: Request<wire::ReadRecordRequest>,
    ) -> Result<Response<wire::ReadRecordResponse>, Status> {
        let request = request.into_inner();
        let kind = kind_of(&request.kind)?;
        let name = RecordName::new(&request.name).map_err(invalid)?;
        match self.read(Query::Record(kind, name)).await? {
            QueryAnswer::Record(record) => {
                let record = record.as_ref().map(|(key, stored)| (key, stored).into());
                Ok(Response::new(wire::ReadRecordResponse { record }))
            }
            other => Err(mismatch(&other)),
        }
    }

    async fn list_records(
        &self,
        request: Request<wire::ListRecordsRequest>,
    ) -> Result<Response<wire::ListRecordsResponse>, Status> {
        let kind = kind_of(&request.into_inner().kind)?;
        match self.read(Query::Records(kind)).await? {
            QueryAnswer::Records(records) => Ok(Response::new(wire::ListRecordsResponse {
                records: records.iter().map(|(key, stored)| (key, stored).into()).collect(),
            })),
            other => Err(mismatch(&other)),
        }
    }

    async fn read_change(
        &self,
        request: Request<wire::ReadChangeRequest>,
    ) -> Result<Response<wire::ReadChangeResponse>, Status> {
        let change_id = ChangeId::new(&request.into_inner().change_id);
        match self.read(Query::Change(change_id)).await? {
            QueryAnswer::Change(status) => Ok(Response::new(wire::ReadChangeResponse {
                known: status.outcome.is_some(),
                answer: status.outcome.as_ref().map(Into::into),
                in_force_everywhere: status.in_force_everywhere,
                missing_nodes: status.missing_nodes.into_iter().map(Into::into).collect(),
            })),
            other => Err(mismatch(&other)),
        }
    }

    async fn read_status(
        &self,
        _request: Request<wire::ReadStatusRequest>,
    ) -> Result<Response<wire::DocumentResponse>, Status> {
        document(self.read(Query::Status).await?)
    }

    async fn explain_job(
        &self,
        request: Request<wire::ExplainJobRequest>,
    ) -> Result<Response<wire::DocumentResponse>, Status> {
        let name = JobName::new(&request.into_inner().name).map_err(invalid)?;
        document(self.read(Query::Job(name)).await?)
    }
}

fn document(answer: QueryAnswer) -> Result<Response<wire::DocumentResponse>, Status> {
    match answer {
        QueryAnswer::Document(value) => {
            let document_json = value.to_string().into();
            Ok(Response::new(wire::DocumentResponse { document_json }))
        }
        other => Err(mismatch(&other)),
    }
}

fn kind_of(word: &str) -> Result<RecordKind, Status> {
    RecordKind::from_name(word).ok_or_else(|| {
        invalid(format!(
            "`{word}` is no record kind; use organisation, guarantee, job, policy, service, \
             objective or membership"
        ))
    })
}

fn mismatch(answer: &QueryAnswer) -> Status {
    Status::internal(format!("the control actor answered another query: {answer:?}"))
}
