/* kit.h - a small deployment for the cases of the second review.

   One process holds the stand-ins: the platform's store (the project's own
   rows_server.h), workers, clients and the operator.  The routers are separate
   processes, started with the command of deploy/system.toml.  All addresses
   are loopback addresses.  */

#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

#include "../../platform/standins/raw_server.h"
#include "../../platform/standins/rows_server.h"
#include "net/timer.h"
#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

#define KIT_ROUTERS_MAX 8

struct kit_router
{
  char host[32];
  char http[32];
  char ready[32];
  char peer[32];
  int pid;
  bool is_up;
};

struct kit_request
{
  char id[32];
  uint64_t sent_ms;
  uint64_t answered_ms;
  int router;
  int status; /* -1: the connection ended without a whole answer */
  char *body;
  size_t body_len;
  void (*done) (struct kit_request *request);
  void *user;
};

struct kit
{
  struct tevent_context *ev;
  struct rows_server *rows;
  struct kit_router routers[KIT_ROUTERS_MAX];
  int router_count;
  bool trouble;
  char folder[64];
};

extern struct kit kit;

/* Creates the store, the folder for settings and record.txt in the folder of
   the case.  */
void kit_start (const char *case_folder);
/* Ends all routers, removes the folder and exits with STATUS.  */
void kit_exit (int status) __attribute__ ((noreturn));
/* Milliseconds on the steady clock since kit_start.  */
uint64_t kit_now (void);
/* A line of record.txt, with the time.  */
void kit_log (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* Gives COUNT routers their addresses and starts the first STARTED of them,
   with the settings of the platform and the further lines in EXTRA.  */
void kit_start_routers (int count, int started, const char *extra);
void kit_start_router (int index);
/* SIGKILL, and waits for the end of the process.  */
void kit_kill_router (int index);
/* The operator writes a configuration; the store acknowledges at once.  */
void kit_write_config (const char *json);
/* A worker writes its entry.  */
void kit_register_worker (const char *id, const char *service, uint16_t port,
                          const char *state);
/* Sends a request on a new connection.  TARGET begins with "GET " or "POST ".
   FIELDS: lines with CRLF.  ADDRESS: NULL for the router's callers' port.  */
struct kit_request *kit_send (int router, const char *address,
                              const char *target, const char *fields,
                              const char *body,
                              void (*done) (struct kit_request *request),
                              void *user);
/* Runs the event loop for MS milliseconds.  */
void kit_run (uint64_t ms);
/* Reads a counter of each running router's /metrics into VALUES.  */
void kit_read_counter (const char *name, uint64_t values[KIT_ROUTERS_MAX]);

#endif
