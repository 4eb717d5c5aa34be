/* bench_peer.c - cost of the connection between two processes.

   A sender and a receiver on loopback, each a process with its own event loop.
   "stream": as many frames as the window allows; "ping": one frame at a time,
   each acknowledged, without batching; "idle": heartbeats only; "hub":
   heartbeats with many peers, for the cost of one connection.
   Needs: peer.h, id.h.  */

#include "core/id.h"
#include "net/peer.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  WINDOW = 4096, /* unacknowledged frames */
  ACK_EVERY = 256,
  STREAM_FRAMES = 1600 * ACK_EVERY,
  PING_FRAMES = 20000,
  BODY_BYTES = 2048,
  LOAD_WORKERS = 4,
  IDLE_SECONDS = 20,
  HUB_CLIENTS = 200,
  TALLOC_HEADER_BYTES = 96,
  US_PER_S = 1000000
};

enum bench_mode
{
  BENCH_STREAM,
  BENCH_PING,
  BENCH_IDLE
};

struct bench_case
{
  const char *name;
  enum bench_mode mode;
  enum mq_message_type type;
  uint64_t frames;
};

static const struct bench_case cases[] = {
  { "stream LOAD", BENCH_STREAM, MQ_MSG_LOAD, STREAM_FRAMES },
  { "stream CALL", BENCH_STREAM, MQ_MSG_CALL, STREAM_FRAMES },
  { "ping LOAD", BENCH_PING, MQ_MSG_LOAD, PING_FRAMES },
  { "ping CALL", BENCH_PING, MQ_MSG_CALL, PING_FRAMES },
  { "idle", BENCH_IDLE, MQ_MSG_NONE, 0 },
};

struct side
{
  struct tevent_context *ev;
  struct mq_peer_net *net;
  uint32_t peer;
  uint32_t up;
  bool lost;
  uint64_t received;
  uint64_t acked;
  uint64_t ack_every; /* 0 for the sender, which sends none */
};

static void
on_up (uint32_t peer, const struct mq_peer_info *info, void *user)
{
  struct side *side = user;

  (void)info;
  side->peer = peer;
  side->up++;
}

static void
on_down (uint32_t peer, enum mq_error_type why, void *user)
{
  struct side *side = user;

  (void)peer;
  (void)why;
  side->lost = true;
}

static void
send_ack (struct side *side)
{
  struct mq_message ack = { .type = MQ_MSG_FORWARD_CLOSE };

  ack.u.forward_close.handle = side->received;
  mq_peer_net_send (side->net, side->peer, &ack);
}

static void
on_message (uint32_t peer, const struct mq_message *message, void *user)
{
  struct side *side = user;

  (void)peer;
  if (message->type == MQ_MSG_FORWARD_CLOSE)
    {
      side->acked = message->u.forward_close.handle;
      return;
    }
  side->received++;
  if (side->ack_every > 0 && side->received % side->ack_every == 0)
    send_ack (side);
}

static void
open_side (struct side *side, const char *host, uint64_t boot)
{
  struct mq_peer_callbacks callbacks = { on_up, on_down, on_message, side };
  struct mq_peer_options options = { .listen = "127.0.0.1:0" };

  options.self.host = host;
  options.self.boot = boot;
  side->ev = tevent_context_init (NULL);
  side->net
      = mq_peer_net_create (side->ev, side->ev, &options, &callbacks, NULL);
  if (side->net == NULL)
    exit (1);
}

static double
read_clock (clockid_t id)
{
  struct timespec now;

  clock_gettime (id, &now);
  return (double)now.tv_sec * US_PER_S + (double)now.tv_nsec / 1000;
}

static double
cpu_us (void)
{
  return read_clock (CLOCK_PROCESS_CPUTIME_ID);
}

static double
wall_us (void)
{
  return read_clock (CLOCK_MONOTONIC);
}

/* Serves until the sender disconnects, then writes the CPU time since the
   connection to the pipe, in microseconds.  */
static void
run_receiver (int to_parent, uint64_t ack_every)
{
  struct side side = { .ack_every = ack_every };
  uint16_t port;
  double start;
  double used_us;

  open_side (&side, "receiver", 2);
  port = mq_peer_net_port (side.net);
  if (write (to_parent, &port, sizeof port) != (ssize_t)sizeof port)
    exit (1);
  while (side.peer == 0)
    tevent_loop_once (side.ev);
  start = cpu_us ();
  while (!side.lost)
    tevent_loop_once (side.ev);
  used_us = cpu_us () - start;
  if (write (to_parent, &used_us, sizeof used_us) != (ssize_t)sizeof used_us)
    exit (1);
  exit (0);
}

static void
fill_load (struct mq_message *message, struct mq_worker_load *workers)
{
  for (uint32_t i = 0; i < LOAD_WORKERS; i++)
    workers[i] = (struct mq_worker_load){ .worker = i,
                                          .service = "drafting-llm",
                                          .model = "letters-7b-v3",
                                          .slots = 32,
                                          .running = 17 + i,
                                          .queued = 3,
                                          .cache_used = 412345,
                                          .cache_total = 524288,
                                          .prefill_rate = 18250,
                                          .decode_us = 21400 };
  message->u.load.boot = 0x123456789abcdefULL;
  message->u.load.workers = workers;
  message->u.load.worker_count = LOAD_WORKERS;
}

static void
fill_call (struct mq_message *message, char *body)
{
  struct mq_call_msg *call = &message->u.call;

  memset (body, 'x', BODY_BYTES - 1);
  body[BODY_BYTES - 1] = '\0';
  call->ref.program = mq_id_open ("zarqa", "letter");
  call->ref.call = 12;
  call->ref.attempt = 1;
  call->partition = 417;
  call->fence = 90210;
  call->service = "drafting-llm";
  call->organisation = "zarqa";
  call->max_tokens = 400;
  call->traceparent
      = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  call->body = body;
}

static void
run_stream (struct side *side, const struct mq_message *message,
            uint64_t frames, uint64_t window)
{
  uint64_t sent = 0;

  while (side->acked < frames)
    {
      while (sent < frames && sent < side->acked + window
             && mq_peer_net_send (side->net, side->peer, message))
        sent++;
      tevent_loop_once (side->ev);
    }
}

static void
run_idle (struct side *side)
{
  double end = wall_us () + (double)IDLE_SECONDS * US_PER_S;

  while (wall_us () < end)
    tevent_loop_once (side->ev);
}

static void
print_idle (const struct mq_peer_counters *before,
            const struct mq_peer_counters *after, double sender_us)
{
  printf ("%-12s out %.1f bytes/s in %.1f bytes/s frames out %.1f/s "
          "cpu %.0f us/s\n",
          "idle",
          (double)(after->control_bytes_out - before->control_bytes_out)
              / IDLE_SECONDS,
          (double)(after->control_bytes_in - before->control_bytes_in)
              / IDLE_SECONDS,
          (double)(after->frames_out - before->frames_out) / IDLE_SECONDS,
          sender_us / IDLE_SECONDS);
}

static void
run_sender (const struct bench_case *each, int from_child, uint16_t port)
{
  struct side side = { 0 };
  struct mq_message message = { .type = each->type };
  struct mq_worker_load workers[LOAD_WORKERS];
  char body[BODY_BYTES];
  char address[32];
  struct mq_peer_counters before;
  struct mq_peer_counters after;
  double wall;
  double sender;
  double receiver;

  if (each->type == MQ_MSG_LOAD)
    fill_load (&message, workers);
  else
    fill_call (&message, body);
  open_side (&side, "sender", 1);
  mq_peer_net_set_version (side.net, 40000);
  snprintf (address, sizeof address, "127.0.0.1:%u", port);
  mq_peer_net_add_address (side.net, address);
  while (side.peer == 0)
    tevent_loop_once (side.ev);
  before = *mq_peer_net_counters (side.net);
  wall = wall_us ();
  sender = cpu_us ();
  if (each->mode == BENCH_IDLE)
    run_idle (&side);
  else
    run_stream (&side, &message, each->frames,
                each->mode == BENCH_PING ? 1 : WINDOW);
  sender = cpu_us () - sender;
  wall = wall_us () - wall;
  after = *mq_peer_net_counters (side.net);
  if (each->mode == BENCH_IDLE)
    print_idle (&before, &after, sender);
  mq_peer_net_destroy (side.net);
  if (read (from_child, &receiver, sizeof receiver)
      != (ssize_t)sizeof receiver)
    exit (1);
  if (each->mode != BENCH_IDLE)
    printf ("%-12s %llu bytes a frame %9.0f frames/s sender %.2f us/frame "
            "receiver %.2f us/frame\n",
            each->name,
            (unsigned long long)((after.bytes_out - before.bytes_out)
                                 / each->frames),
            (double)each->frames / wall * US_PER_S,
            sender / (double)each->frames, receiver / (double)each->frames);
  fflush (stdout);
  talloc_free (side.ev);
}

static void
run_case (const struct bench_case *each)
{
  int ends[2];
  uint16_t port;
  pid_t child;

  if (pipe (ends) != 0)
    exit (1);
  child = fork ();
  if (child == 0)
    run_receiver (ends[1], each->mode == BENCH_PING ? 1 : ACK_EVERY);
  if (child < 0 || read (ends[0], &port, sizeof port) != (ssize_t)sizeof port)
    exit (1);
  run_sender (each, ends[0], port);
  waitpid (child, NULL, 0);
  close (ends[0]);
  close (ends[1]);
}

static void
run_clients (uint16_t port)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  struct mq_peer_callbacks callbacks = { 0 };
  char address[32];
  char host[32];

  snprintf (address, sizeof address, "127.0.0.1:%u", port);
  for (uint64_t i = 0; i < HUB_CLIENTS; i++)
    {
      struct mq_peer_options options = { .listen = "127.0.0.1:0" };
      struct mq_peer_net *net;

      snprintf (host, sizeof host, "spoke%llu", (unsigned long long)i);
      options.self.host = host;
      options.self.boot = 1000 + i;
      net = mq_peer_net_create (ev, ev, &options, &callbacks, NULL);
      if (net == NULL)
        exit (1);
      mq_peer_net_add_address (net, address);
    }
  while (true)
    tevent_loop_once (ev);
}

/* Counts bytes allocated below CTX, talloc's headers included.  */
static size_t
count_memory (const void *ctx)
{
  return talloc_total_size (ctx)
         + (size_t)TALLOC_HEADER_BYTES * talloc_total_blocks (ctx);
}

static void
run_hub (void)
{
  struct side side = { 0 };
  struct mq_peer_counters before;
  const struct mq_peer_counters *after;
  size_t empty;
  double used_us;
  pid_t child;

  open_side (&side, "hub", 1);
  empty = count_memory (side.net);
  child = fork ();
  if (child < 0)
    exit (1);
  if (child == 0)
    run_clients (mq_peer_net_port (side.net));
  while (side.up < HUB_CLIENTS)
    tevent_loop_once (side.ev);
  after = mq_peer_net_counters (side.net);
  before = *after;
  used_us = cpu_us ();
  run_idle (&side);
  used_us = cpu_us () - used_us;
  printf ("%-12s %d connections, each %zu bytes of memory, out %.1f bytes/s "
          "in %.1f bytes/s cpu %.1f us/s\n",
          "hub", HUB_CLIENTS, (count_memory (side.net) - empty) / HUB_CLIENTS,
          (double)(after->control_bytes_out - before.control_bytes_out)
              / IDLE_SECONDS / HUB_CLIENTS,
          (double)(after->control_bytes_in - before.control_bytes_in)
              / IDLE_SECONDS / HUB_CLIENTS,
          used_us / IDLE_SECONDS / HUB_CLIENTS);
  kill (child, SIGKILL);
  waitpid (child, NULL, 0);
  talloc_free (side.ev);
}

int
main (void)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    run_case (&cases[i]);
  run_hub ();
  return 0;
}
