/* limits.h - every build-time constant of the system in one place.

   Times end in _MS or _US, sizes in _BYTES, counts in _MAX.  */

#ifndef MQ_LIMITS_H
#define MQ_LIMITS_H

/* Bounds on what comes in.  */
#define MQ_BODY_MAX_BYTES (4U << 20)      /* body of a caller's request */
#define MQ_HEADERS_MAX_BYTES (16U << 10)  /* header of a caller's request */
#define MQ_FRAME_MAX_BYTES (8U << 20)     /* frame between processes */
#define MQ_CONNECTIONS_MAX 4096U          /* callers' connections a process */
#define MQ_STREAM_BUFFER_BYTES (1U << 20) /* unsent bytes of a slow reader */
#define MQ_SEND_BUFFER_BYTES (128U << 10) /* of them in the kernel */
#define MQ_TEXT_MAX_BYTES (1U << 20)      /* operators' text */
#define MQ_TEXT_LINE_MAX 198U             /* one line of it */
#define MQ_TEXT_ERRORS_MAX 1000U          /* errors listed in one pass */

/* HTTP.  The client drops an idle connection well before our servers do, so
   that a request rarely meets a connection that is just being closed.  */
#define MQ_HTTP_IDLE_MS 60000U       /* server: connection without traffic */
#define MQ_HTTP_REUSE_MS 30000U      /* client: idle connection is kept */
#define MQ_HTTP_CONNECT_MS 3000U     /* client: give up connecting */
#define MQ_HTTP_KEPT_CONNECTIONS 256 /* client: idle ones at most */

/* Connections between processes.  */
#define MQ_HEARTBEAT_MS 500U     /* heartbeat on an idle connection */
#define MQ_PEER_TIMEOUT_MS 2000U /* nothing heard: silent, replace it */
#define MQ_CONNECT_RETRY_MS 200U /* first pause before connecting again */
#define MQ_CONNECT_RETRY_MAX_MS 3000U
#define MQ_HANDSHAKE_MS 2000U
#define MQ_PEER_UNSENT_BYTES (32U << 20) /* unsent to one peer: closed */
#define MQ_PEER_UNAUTHENTICATED_MAX 256U /* connections before their proof */
#define MQ_PEER_UNAUTHENTICATED_BYTES 1024U /* frame before the proof */
#define MQ_FRAME_MEMORY_BYTES (32U << 20)   /* memory of one decoded frame */
#define MQ_FRAME_WORKERS_MAX 1024U          /* workers in one LOAD */
#define MQ_FRAME_CALLS_MAX 65536U           /* calls in one RECOVERED */
#define MQ_FRAME_PARTITIONS_MAX 65536U      /* partitions in one HANDOVER */

/* Partition ownership.  */
#define MQ_OWNER_RENEW_MS 1000U    /* the owner's row is written this often */
#define MQ_OWNER_SCAN_MS 1000U     /* owners' and partitions' rows are read */
#define MQ_OWNER_STANDBY_MS 30000U /* renewal of a host that may not own */
#define MQ_OWNER_EXPIRY_MS                                                    \
  120000U /* a row that stands still counts no more                           \
           */
#define MQ_OWNER_PROGRAMS_MAX 50000U
#define MQ_PARTITIONS_MAX 1000U  /* their rows fit one page */
#define MQ_CONFIRM_MS 2U         /* between two such reads, times hosts */
#define MQ_OWNERS_MAX 40U        /* hosts that may own partitions */
#define MQ_OWNER_DOWN_MS 1500U   /* connection lost and no renewal */
#define MQ_OWNER_RANK_MS 300U    /* the next best host waits longer */
#define MQ_TAKEOVERS_MAX 4U      /* takeovers of one host at a time */
#define MQ_RECOVER_MS 2000U      /* targets' processes answer in this */
#define MQ_BALANCE_MS 250U       /* between two partitions given up */
#define MQ_TARGET_KEEP_MS 10000U /* an unlisted target stays known */
#define MQ_COMMIT_RECORDS_MAX 512U
#define MQ_COMMIT_INLINE_BYTES (64U << 10) /* larger: in an object */
#define MQ_CHECKPOINT_RECORDS 2000U        /* records between checkpoints */
#define MQ_STORE_TIMEOUT_MS 3000U          /* no answer: LOST */
#define MQ_STORE_RETRY_MS 100U
#define MQ_STORE_RETRY_MAX_MS 2000U

/* Calls.  */
#define MQ_ATTEMPT_RESEND_MS 1500U /* unacknowledged: again, same attempt */
#define MQ_RETRY_BASE_MS 50U
#define MQ_RETRY_MAX_MS 5000U
#define MQ_ATTEMPTS_MAX 8U
#define MQ_STEP_AHEAD_MAX 32U     /* calls that wait for a predecessor */
#define MQ_GRANT_CALLS 4U         /* calls that one budget grant covers */
#define MQ_ENDED_KEEP_MS 3600000U /* ended programs stay for repeats */
#define MQ_PENDING_MAX_BYTES                                                  \
  (64U << 20)                    /* records that wait for the store           \
                                  */
#define MQ_TARGET_GONE_MS 30000U /* an unlisted target's calls: unknown */
#define MQ_LOOP_REPEATS 4U       /* same call in a row: a suspected loop */

/* Callers' requests at the host that took them.  */
#define MQ_FRONT_REQUESTS_MAX 8192U
#define MQ_FRONT_BYTES_MAX (32U << 20) /* their bodies together */
#define MQ_FRONT_RETRY_BASE_MS 5U      /* first pause before sending again */
#define MQ_FRONT_RETRY_MAX_MS 1000U
#define MQ_FRONT_CHECK_MS 500U /* the owners' map is compared this often */

/* Callers' HTTP.  */
#define MQ_API_KEY_MAX 255U         /* bytes of an Idempotency-Key */
#define MQ_API_WAIT_MAX_MS 3600000U /* a caller's wait, service not known */
#define MQ_CONFIG_WAIT_MS 1000U /* a request waits for a newer configuration  \
                                 */
#define MQ_CONFIG_WAITERS_MAX 1024U /* requests that wait so */
#define MQ_ENTRY_STOP_POLL_MS 50U  /* a planned stop looks whether it is done \
                                    */
#define MQ_TARGET_STOP_POLL_MS 50U /* the same beside a target */
#define MQ_TARGET_IDLE_MS 1500U    /* no call came for so long: may end */
#define MQ_HOSTS_POLL_MS 1000U     /* the platform's list of hosts is read */
#define MQ_HOSTS_POLL_HOST_MS 20U  /* and not before so long for each host */
#define MQ_HOSTS_POLL_MAX_MS 5000U /* but then: who leaves shows in it */
#define MQ_API_WAIT_SLACK_MS 30000U /* beyond what the service may take */

/* Gates.  */
#define MQ_GATE_QUEUE_MAX 512U
#define MQ_GATE_OUTCOMES_MAX 65536U
#define MQ_GATE_LOAD_INTERVAL_MS 1000U
#define MQ_GATE_LOAD_MIN_MS 50U /* load is pushed on change, no faster */
#define MQ_GATE_EVICT_RETRY_MS 200U
#define MQ_GATE_AGEING_MS 2000U /* a waiting call rises one step */
#define MQ_GATE_PROGRAMS_MAX 65536U
#define MQ_GATE_PROGRAM_KEEP_MS 600000U /* idle record of a program */
#define MQ_GATE_PROGRAM_KEEP_MIN_MS                                           \
  30000U /* the same when the table is full */
#define MQ_GATE_OUTCOME_BYTES_MAX (32U << 20) /* bodies of kept outcomes */
#define MQ_GATE_QUEUE_BYTES_MAX (32U << 20)   /* bodies that wait, a worker */
#define MQ_GATE_EVICT_RETRY_MAX_MS 5000U
#define MQ_GATE_LEASE_MS 10000U       /* before any owner gave one */
#define MQ_GATE_LEASE_GRACE_MS 10000U /* of cache found, to be claimed */
#define MQ_GATE_ORDERS_MAX 64U        /* remembered per worker */
#define MQ_GATE_LOAD_BYTES_S 8192U    /* of LOAD to all peers a second */

/* Workers.  */
#define MQ_WORKER_CACHE_POLL_MS 1000U /* what an engine holds is read */
#define MQ_WORKER_CONTROL_MS 2000U    /* evict, cancel, poll: no answer */
#define MQ_WORKER_ORDER_MS 600000U    /* loading a model takes minutes */
#define MQ_WORKER_CANCEL_RETRY_MS 100U
#define MQ_WORKER_CANCELS_MAX 3U
#define MQ_WORKER_STREAM_MAX_BYTES (64U << 20) /* streamed answer */

/* Configuration.  */
#define MQ_CONFIG_POLL_MS 1000U       /* pollers of a data centre */
#define MQ_CONFIG_POLL_SLOW_MS 60000U /* everyone else */
#define MQ_CONFIG_POLLERS 2U          /* pollers in a data centre */
#define MQ_CONFIG_STARTUP_RETRY_MAX_MS                                        \
  4000U                                /* longest pause before the first */
#define MQ_CONFIG_GET_TIMEOUT_MS 1000U /* a peer asked: then another one */
#define MQ_CONFIG_NOTIFY_PEERS 8U      /* peers told at a time of a rise */
#define MQ_CONFIG_NOTIFY_MS 50U        /* pause before the next few; doubles */

/* Measures.  */
#define MQ_LATENCY_SERIES_MAX 256U /* services, first and follow-up apart */

/* Traces.  */
#define MQ_SPANS_MAX 4096U /* kept by a process */

#endif
