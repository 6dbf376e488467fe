//! Exchanges records of the platform's store with other hosts.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use tokio::{
    net::{
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
        TcpListener,
        TcpStream, //
    },
    sync::Semaphore,
    task,
    time, //
};
use tokio_io_timeout::{
    TimeoutReader,
    TimeoutWriter, //
};
use wagtaildoor::{
    boot_clock::BootInstant,
    frame::{
        self,
        FrameReader,
        FrameWriter, //
    },
    schema::{
        FrontAsk,
        FrontRecord,
        FrontRecords,
        FrontStream, //
    },
};

use crate::{
    control_store::{
        ControlPage,
        ControlRecord,
        ControlStream,
        GroupMember, //
    },
    endpoint_connection,
    endpoint_directory::RELISTING_GRACE,
    front::Front,
    record_updates::{
        self,
        PageSource, //
    },
    stream_position::StreamPosition,
    wire_codec::WireCodec, //
};

/// Longest time without data in an exchange of records with another host.
const STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time for a whole exchange, which ends one that trickles.
const MAX_EXCHANGE_TIME: Duration = Duration::from_secs(5);
/// Number of records above which a response occupies the host's link for long; a typical response
/// has a few.
const LONG_RESPONSE_RECORDS: usize = 500;
/// Size of the records, in bytes, above which a response does so.
const LONG_RESPONSE_BYTES: usize = 64 << 10;
/// Maximum number of long responses that a host sends concurrently.
const MAX_LONG_RESPONSES: usize = 1;
/// Number of hosts that are asked for what a restored store may lack.
const CONFIRMED_FETCHES: u32 = 3;
/// Longest wait for one of them.
const CONFIRMED_FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Half of a connection that reads, and fails when no data comes.
type PatientReader = Pin<Box<TimeoutReader<OwnedReadHalf>>>;
/// Half of a connection that writes, and fails when no data can be written.
type PatientWriter = Pin<Box<TimeoutWriter<OwnedWriteHalf>>>;

/// Fetches the whole operator's stream from some other hosts. What the operator had confirmed before
/// the store was restored may be known only to them until it is written again.
pub async fn fetch_confirmed_records<C: WireCodec>(front: Rc<Front>) {
    let stream = ControlStream::Operator;
    for _ in 0..CONFIRMED_FETCHES {
        if let Some(peer) = next_peer(&front, stream) {
            let fetch = fetch_records_after::<C>(&front, stream, peer, StreamPosition::default());
            // A peer that does not answer is followed by the next one.
            let _ = time::timeout(CONFIRMED_FETCH_TIMEOUT, fetch).await;
        }
    }
    front.has_asked_others.set(true);
}

/// Fetches the missing records of a stream from the next peer of its rotation.
pub async fn fetch_records<C: WireCodec>(front: &Front, stream: ControlStream) {
    if let Some(peer) = next_peer(front, stream) {
        fetch_records_from::<C>(front, stream, peer).await;
    }
}

/// Next peer of a stream's rotation.
fn next_peer(front: &Front, stream: ControlStream) -> Option<SocketAddr> {
    let random_value = BootInstant::now().since(BootInstant::ZERO).as_nanos() as u64;
    let mut rotations = front.peer_rotations.borrow_mut();
    let rotation = rotations.entry(stream).or_default();
    let (near, far) = peer_addresses(front);
    rotation.next_address(&near, &far, random_value)
}

/// Fetches the missing records of a stream from a given peer and applies them.
pub async fn fetch_records_from<C: WireCodec>(
    front: &Front,
    stream: ControlStream,
    peer: SocketAddr,
) {
    let from = front.mirror.borrow().next(stream);
    fetch_records_after::<C>(front, stream, peer, from).await;
}

/// Fetches the records of a stream at or after a position from a given peer and applies them.
async fn fetch_records_after<C: WireCodec>(
    front: &Front,
    stream: ControlStream,
    peer: SocketAddr,
    from: StreamPosition,
) {
    let ask = FrontAsk {
        stream: encode_stream(stream),
        from: from.to_frame(),
    };
    match time::timeout(MAX_EXCHANGE_TIME, request_records(peer, &ask)).await {
        Ok(Ok(records)) => {
            let page = decode_page(records);
            if page.next > from {
                slog::info!(front.log, "records from a peer"; "stream" => ?stream,
                    "peer" => %peer, "from" => from.offset, "era" => page.next.era,
                    "next" => page.next.offset);
                // While this host reads from others, the store may be away for endpoints, too.
                let relisted_by = Some(BootInstant::now() + RELISTING_GRACE);
                let source = PageSource::Peer;
                record_updates::apply_page::<C>(front, stream, &page, source, relisted_by);
            }
        }
        Ok(Err(error)) => {
            slog::info!(front.log, "failed to fetch records from peer"; "stream" => ?stream,
                "peer" => %peer, "error" => %error);
        }
        Err(_) => {
            slog::info!(front.log, "records from a peer came too late"; "stream" => ?stream,
                "peer" => %peer, "from" => from.offset);
        }
    }
}

/// Sends a record request to a peer and reads the response.
async fn request_records(peer: SocketAddr, ask: &FrontAsk) -> io::Result<FrontRecords> {
    let stream = endpoint_connection::connect(peer).await?;
    let (mut reader, mut writer) = limit_stalls(stream);
    FrameWriter::new(&mut writer)
        .send(ask)
        .await
        .map_err(io::Error::other)?;
    let answer = FrameReader::new(&mut reader).next().await;
    answer
        .map_err(io::Error::other)?
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Splits a connection into halves that fail when no data passes for [`STALL_TIMEOUT`]. What is given up is
/// sent again from its beginning, so that it may take long as long as it goes on.
fn limit_stalls(stream: TcpStream) -> (PatientReader, PatientWriter) {
    let (reader, writer) = stream.into_split();
    let (mut reader, mut writer) = (TimeoutReader::new(reader), TimeoutWriter::new(writer));
    reader.set_timeout(Some(STALL_TIMEOUT));
    writer.set_timeout(Some(STALL_TIMEOUT));
    (Box::pin(reader), Box::pin(writer))
}

/// Serves record requests from other hosts.
pub async fn serve_records(front: Rc<Front>, listener: TcpListener) {
    let long_responses = Rc::new(Semaphore::new(MAX_LONG_RESPONSES));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                slog::warn!(front.log, "accept failed"; "error" => %error);
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let front = front.clone();
        let long_responses = long_responses.clone();
        task::spawn_local(async move {
            let answer = serve_record_request(&front, stream, &long_responses);
            if let Ok(Err(error)) = time::timeout(MAX_EXCHANGE_TIME, answer).await {
                slog::debug!(front.log, "failed to serve records"; "error" => %error);
            }
        });
    }
}

/// Serves one record request.
///
/// While one long response is being sent, other requests that need a long one receive no records.
/// Concurrent long responses would share this host's link, and none would arrive in time.
async fn serve_record_request(
    front: &Front,
    stream: TcpStream,
    long_responses: &Semaphore,
) -> frame::Result<()> {
    let (mut reader, mut writer) = limit_stalls(stream);
    let Some(ask) = FrameReader::new(&mut reader).next::<FrontAsk>().await? else {
        return Ok(());
    };
    let mut records = find_records(front, &ask);
    let permit = match is_long(&records) {
        true => Some(long_responses.try_acquire()),
        false => None,
    };
    if matches!(permit, Some(Err(_))) {
        records = FrontRecords {
            next: 0,
            records: Vec::new(),
        };
    }
    FrameWriter::new(&mut writer).send(&records).await
}

/// Whether a response occupies the host's link for long.
fn is_long(records: &FrontRecords) -> bool {
    let values = records.records.iter().flat_map(|record| &record.value);
    let bytes: usize = values.map(Vec::len).sum();
    records.records.len() > LONG_RESPONSE_RECORDS || bytes > LONG_RESPONSE_BYTES
}

/// Records that match a request from another host.
fn find_records(front: &Front, ask: &FrontAsk) -> FrontRecords {
    let stream = match ask.stream {
        FrontStream::Operator => ControlStream::Operator,
        FrontStream::Endpoints => ControlStream::Endpoints,
        FrontStream::CrashReports => ControlStream::CrashReports,
    };
    let from = StreamPosition::from_frame(ask.from);
    let page = front.mirror.borrow().page_from(stream, from);
    let records = page.records.into_iter().map(|record| FrontRecord {
        offset: record.position.to_frame(),
        key: record.key,
        value: record.value.map(|value| value.to_vec()),
    });
    FrontRecords {
        next: page.next.to_frame(),
        records: records.collect(),
    }
}

/// Converts the records from another host to a page.
fn decode_page(records: FrontRecords) -> ControlPage {
    let page = records.records.into_iter().map(|record| ControlRecord {
        position: StreamPosition::from_frame(record.offset),
        key: record.key,
        value: record.value.map(Bytes::from),
    });
    ControlPage {
        records: page.collect(),
        next: StreamPosition::from_frame(records.next),
        has_more: false,
    }
}

/// Converts a stream's name to its form in frames.
fn encode_stream(stream: ControlStream) -> FrontStream {
    match stream {
        ControlStream::Operator => FrontStream::Operator,
        ControlStream::Endpoints => FrontStream::Endpoints,
        ControlStream::CrashReports => FrontStream::CrashReports,
    }
}

/// Addresses of the other hosts, first those of the own failure domain, then the others. The seeds
/// while no host is known.
fn peer_addresses(front: &Front) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let own = front.settings.peers;
    let known = front.peers.borrow();
    let others = known.members().filter(|member| member.address != own);
    let (near, far): (Vec<&GroupMember>, Vec<&GroupMember>) =
        others.partition(|member| member.domain == front.settings.domain);
    if near.is_empty() && far.is_empty() {
        let seeds = front.settings.seeds.iter().copied();
        return (
            seeds.filter(|&address| address != own).collect(),
            Vec::new(),
        );
    }
    let addresses =
        |members: Vec<&GroupMember>| members.iter().map(|member| member.address).collect();
    (addresses(near), addresses(far))
}
