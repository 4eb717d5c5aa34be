/* limits.h - build-time constants of the system.

   Times end in _MS or _US, sizes in _BYTES, counts in _MAX.  */

#ifndef MQ_LIMITS_H
#define MQ_LIMITS_H

/* Input limits.  */
#define MQ_BODY_MAX_BYTES (4U << 20)      /* request body of a caller */
#define MQ_HEADERS_MAX_BYTES (16U << 10)  /* request headers of a caller */
#define MQ_FRAME_MAX_BYTES (8U << 20)     /* frame between processes */
#define MQ_CONNECTIONS_MAX 4096U          /* caller connections per process */
#define MQ_STREAM_BUFFER_BYTES (1U << 20) /* unsent, per caller */
#define MQ_SEND_BUFFER_BYTES (128U << 10) /* SO_SNDBUF, part of that */
#define MQ_RECEIVE_BUFFER_BYTES (256U << 10) /* SO_RCVBUF of a caller */
#define MQ_TEXT_MAX_BYTES (1U << 20)         /* configuration text */
#define MQ_TEXT_LINE_MAX 198U                /* bytes in one line of it */
#define MQ_TEXT_ERRORS_MAX 1000U             /* errors listed per parse */

/* HTTP.  The client closes idle connections before the server does, so that
   requests are rarely sent on a connection that is being closed.  */
#define MQ_HTTP_IDLE_MS 60000U       /* server: idle connection timeout */
#define MQ_HTTP_REUSE_MS 30000U      /* client: idle connection timeout */
#define MQ_HTTP_CONNECT_MS 3000U     /* client: connect timeout */
#define MQ_HTTP_KEPT_CONNECTIONS 256 /* client: idle connections kept */

/* Connections between processes.  */
#define MQ_HEARTBEAT_MS 500U     /* heartbeat interval when idle */
#define MQ_PEER_TIMEOUT_MS 2000U /* no data received: reconnect */
#define MQ_CONNECT_RETRY_MS 200U /* initial reconnect backoff */
#define MQ_CONNECT_RETRY_MAX_MS 3000U
#define MQ_HANDSHAKE_MS 2000U
#define MQ_PEER_UNSENT_BYTES (32U << 20)    /* send queue; closed above */
#define MQ_PEER_UNAUTHENTICATED_MAX 256U    /* unauthenticated connections */
#define MQ_PEER_UNAUTHENTICATED_BYTES 1024U /* their largest frame */
#define MQ_FRAME_MEMORY_BYTES (32U << 20)   /* memory of one decoded frame */
#define MQ_FRAME_WORKERS_MAX 1024U          /* workers in one LOAD */
#define MQ_FRAME_CALLS_MAX 65536U           /* calls in one RECOVERED */
#define MQ_FRAME_PARTITIONS_MAX 65536U      /* partitions in one HANDOVER */

/* Partition ownership.  */
#define MQ_OWNER_RENEW_MS 1000U    /* owner lease renewal interval */
#define MQ_OWNER_SCAN_MS 1000U     /* scan interval of ownership rows */
#define MQ_OWNER_STANDBY_MS 30000U /* renewal interval of other hosts */
#define MQ_OWNER_EXPIRY_MS 120000U /* a row not renewed is ignored */
#define MQ_OWNER_PROGRAMS_MAX 50000U
#define MQ_PARTITIONS_MAX 1000U  /* rows fit in one page */
#define MQ_CONFIRM_MS 2U         /* confirmation interval, per host */
#define MQ_OWNERS_MAX 40U        /* hosts that may own partitions */
#define MQ_OWNER_DOWN_MS 1500U   /* disconnected and not renewed */
#define MQ_OWNER_RANK_MS 300U    /* takeover delay per rank */
#define MQ_TAKEOVERS_MAX 4U      /* concurrent takeovers per host */
#define MQ_RECOVER_MS 2000U      /* timeout for gates to report */
#define MQ_BALANCE_MS 250U       /* interval between released partitions */
#define MQ_TARGET_KEEP_MS 10000U /* retention of an unlisted target */
#define MQ_COMMIT_RECORDS_MAX 512U
#define MQ_COMMIT_INLINE_BYTES (64U << 10) /* larger: in an object */
#define MQ_CHECKPOINT_RECORDS 2000U        /* records between checkpoints */
#define MQ_STORE_TIMEOUT_MS 3000U          /* then the result is LOST */
#define MQ_STORE_RETRY_MS 100U
#define MQ_STORE_RETRY_MAX_MS 2000U

/* Calls.  */
#define MQ_ATTEMPT_RESEND_MS 1500U /* resend if unacknowledged */
#define MQ_RETRY_BASE_MS 50U
#define MQ_RETRY_MAX_MS 5000U
#define MQ_ATTEMPTS_MAX 8U
#define MQ_STEP_AHEAD_MAX 32U     /* calls queued behind a predecessor */
#define MQ_GRANT_CALLS 4U         /* calls covered by one budget grant */
#define MQ_ENDED_KEEP_MS 3600000U /* retention of ended programs */
#define MQ_PENDING_MAX_BYTES (64U << 20) /* records not yet in the store */
#define MQ_TARGET_GONE_MS 30000U /* unlisted: its calls become unknown */
#define MQ_LOOP_REPEATS 4U       /* identical consecutive calls */

/* Requests at the entry host that received them.  */
#define MQ_FRONT_REQUESTS_MAX 8192U
#define MQ_FRONT_BYTES_MAX (32U << 20) /* total size of their bodies */
#define MQ_FRONT_RETRY_BASE_MS 5U      /* initial resend backoff */
#define MQ_FRONT_RETRY_MAX_MS 1000U
#define MQ_FRONT_CHECK_MS 500U /* check interval for a changed owner */

/* HTTP API.  */
#define MQ_API_KEY_MAX 255U         /* bytes of an Idempotency-Key */
#define MQ_API_WAIT_MAX_MS 3600000U /* if the service is unknown */
#define MQ_CONFIG_WAIT_MS 1000U     /* wait for a newer configuration */
#define MQ_CONFIG_WAITERS_MAX 1024U /* requests in that wait */
#define MQ_STOP_CLOSE_MS 500U       /* end of a stop: requests are refused */
#define MQ_ENTRY_STOP_POLL_MS 50U   /* poll interval during shutdown */
#define MQ_TARGET_STOP_POLL_MS 50U  /* the same on a target host */
#define MQ_TARGET_IDLE_MS 1500U     /* no calls for this long: may exit */
#define MQ_HOSTS_POLL_MS 1000U      /* poll interval of the host list */
#define MQ_HOSTS_POLL_HOST_MS 20U   /* minimum interval, per host */
#define MQ_HOSTS_POLL_MAX_MS 5000U  /* upper bound of that minimum */
#define MQ_API_WAIT_SLACK_MS 30000U /* added to the service's limit */

/* Gates.  */
#define MQ_GATE_QUEUE_MAX 512U
#define MQ_GATE_OUTCOMES_MAX 65536U
#define MQ_GATE_LOAD_INTERVAL_MS 1000U
#define MQ_GATE_LOAD_MIN_MS 50U /* minimum interval between load reports */
#define MQ_GATE_EVICT_RETRY_MS 200U
#define MQ_GATE_AGEING_MS 2000U /* wait until priority rises one class */
#define MQ_GATE_PROGRAMS_MAX 65536U
#define MQ_GATE_PROGRAM_KEEP_MS 600000U    /* retention of an idle program */
#define MQ_GATE_PROGRAM_KEEP_MIN_MS 30000U /* if the table is full */
#define MQ_GATE_OUTCOME_BYTES_MAX (32U << 20) /* retained bodies */
#define MQ_GATE_QUEUE_BYTES_MAX (32U << 20)   /* queued bodies per worker */
#define MQ_GATE_EVICT_RETRY_MAX_MS 5000U
#define MQ_GATE_LEASE_MS 10000U       /* until an owner sets one */
#define MQ_GATE_LEASE_GRACE_MS 10000U /* for cache found without a lease */
#define MQ_GATE_ORDERS_MAX 64U        /* remembered per worker */
#define MQ_GATE_LOAD_BYTES_S 8192U    /* LOAD to all peers, per second */

/* Workers.  */
#define MQ_WORKER_CACHE_POLL_MS 1000U /* poll interval of the engine cache */
#define MQ_WORKER_CONTROL_MS 2000U    /* timeout of evict, cancel and poll */
#define MQ_WORKER_ORDER_MS 600000U    /* loading a model takes minutes */
#define MQ_WORKER_CANCEL_RETRY_MS 100U
#define MQ_WORKER_CANCELS_MAX 3U
#define MQ_WORKER_STREAM_MAX_BYTES (64U << 20) /* streamed response */

/* Configuration.  */
#define MQ_CONFIG_POLL_MS 1000U              /* hosts selected as pollers */
#define MQ_CONFIG_POLL_SLOW_MS 60000U        /* other hosts */
#define MQ_CONFIG_POLLERS 2U                 /* per data centre */
#define MQ_CONFIG_STARTUP_RETRY_MAX_MS 4000U /* before the first */
#define MQ_CONFIG_GET_TIMEOUT_MS 1000U       /* then another peer is queried */
#define MQ_CONFIG_NOTIFY_PEERS 8U            /* peers notified per group */
#define MQ_CONFIG_NOTIFY_MS 50U /* first interval between groups; doubles */

/* Metrics.  */
#define MQ_LATENCY_SERIES_MAX 256U /* first and follow-up separate */

/* Traces.  */
#define MQ_SPANS_MAX 4096U /* spans buffered per process */

#endif
