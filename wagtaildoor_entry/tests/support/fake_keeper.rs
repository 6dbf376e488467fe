//! Fake keeper that sends a fixed view and answers claims with a given verdict.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicU32,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
};

use tokio::net::{
    TcpListener,
    TcpStream, //
};
use wagtaildoor::{
    frame::{
        FrameReader,
        FrameWriter, //
    },
    schema::{
        ClaimReply,
        ClaimVerdict,
        EntryFrame,
        KeeperFrame,
        KeeperView,
        RecordReply, //
    },
};

/// Fake keeper that entries connect to.
pub struct FakeKeeper {
    /// Listen address.
    pub address: SocketAddr,
    /// Verdict on every claim.
    verdict: Arc<Mutex<ClaimVerdict>>,
    /// Number of records received, none of which are stored.
    records: Arc<AtomicU32>,
}

impl FakeKeeper {
    /// Starts a keeper that sends a view to each entry and initially grants claims.
    pub async fn start(view: KeeperView) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let verdict = Arc::new(Mutex::new(ClaimVerdict::Won(1)));
        let records = Arc::new(AtomicU32::new(0));
        let keeper = Self {
            address,
            verdict: Arc::clone(&verdict),
            records: Arc::clone(&records),
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (verdict, records) = (Arc::clone(&verdict), Arc::clone(&records));
                tokio::spawn(serve(stream, view.clone(), verdict, records));
            }
        });
        keeper
    }

    /// Returns the number of records received so far.
    pub fn records(&self) -> u32 {
        self.records.load(Ordering::Relaxed)
    }

    /// Sets the verdict on all later claims.
    pub fn set_verdict(&self, verdict: ClaimVerdict) {
        *self.verdict.lock().expect("no panic") = verdict;
    }
}

/// Answers the frames of one entry.
async fn serve(
    stream: TcpStream,
    view: KeeperView,
    verdict: Arc<Mutex<ClaimVerdict>>,
    records: Arc<AtomicU32>,
) {
    let (read, write) = stream.into_split();
    let mut reader = FrameReader::new(read);
    let mut writer = FrameWriter::new(write);
    while let Ok(Some(frame)) = reader.next::<EntryFrame>().await {
        let answer = match frame {
            EntryFrame::Hello(_) => KeeperFrame::View(view.clone()),
            EntryFrame::Claim(call) => KeeperFrame::ClaimReply(ClaimReply {
                call: call.call,
                verdict: verdict.lock().expect("no panic").clone(),
            }),
            EntryFrame::Record(call) => {
                records.fetch_add(1, Ordering::Relaxed);
                KeeperFrame::RecordReply(RecordReply {
                    call: call.call,
                    recorded: true,
                })
            }
            EntryFrame::Ping(stamp) => KeeperFrame::Pong(stamp),
            EntryFrame::News(_) => continue,
        };
        if writer.send(&answer).await.is_err() {
            return;
        }
    }
}
