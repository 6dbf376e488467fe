//! A keeper that shows one view and gives one verdict.

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

/// A keeper for entries.
pub struct FakeKeeper {
    /// Address it listens on.
    pub address: SocketAddr,
    /// What it answers to claims.
    verdict: Arc<Mutex<ClaimVerdict>>,
    /// Records it was asked to put into the log.
    records: Arc<AtomicU32>,
}

impl FakeKeeper {
    /// Starts a keeper that shows a view.
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

    /// Records it was asked to put into the log so far.
    pub fn records(&self) -> u32 {
        self.records.load(Ordering::Relaxed)
    }

    /// Sets what it answers to claims from now on.
    pub fn set_verdict(&self, verdict: ClaimVerdict) {
        *self.verdict.lock().expect("no panic") = verdict;
    }
}

/// Serves one entry.
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
