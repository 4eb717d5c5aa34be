/* evidence.h - what hosts tell each other of workers that don't answer.

   Guards against a loss that every host pays alone: a worker hangs, and each
   host sends it a request that may not be repeated before it knows.

   A host tells a change of what it saw itself, never what it was told.  Told
   doubt counts less than own sight: it ends when this host hears of the worker
   later than the one that doubts it, it fades, and that of one host alone
   pauses, so that the worker gets a request again.  A worker that answers some
   requests and loses others is doubted when two hosts, this one included, had
   a late one.

   Pure: callers pass the time.
   Needs: types.h.  */

#ifndef MQ_EVIDENCE_H
#define MQ_EVIDENCE_H

#include "../types.h"

struct mq_evidence;

/* Told doubt fades after this time and, to keep hosts from trying the worker
   at once, up to as much more.  */
#define MQ_EVIDENCE_TTL_MS 4000U
/* Doubt that goes on is told again after this time.  */
#define MQ_EVIDENCE_RENEW_MS 2000U
/* The doubt of one host alone counts for this time, then pauses.  */
#define MQ_EVIDENCE_ALONE_MS 4000U
#define MQ_EVIDENCE_ALONE_PAUSE_MS 8000U
/* Scans in a row that must find a worker doubtful: answers may be unread after
   this process was delayed.  */
#define MQ_EVIDENCE_SCANS 2U
/* A worker that sent data within this time is in use.  */
#define MQ_EVIDENCE_USED_MS 5000U
/* Percentage of the workers in use above which a host that doubts them is
   likely cut off or slow itself.  */
#define MQ_EVIDENCE_DOUBTED_MAX_PERCENT 50U
/* A report of an earlier run is late for this time after the last report.
   After it, the host's clock was set back when it started again.  */
#define MQ_EVIDENCE_RUN_MS 8000U
#define MQ_EVIDENCE_SIGHTINGS_MAX 16U
#define MQ_EVIDENCE_WORKERS_MAX 256U
#define MQ_EVIDENCE_HOSTS_MAX 64U
/* Hosts that are kept for a worker.  */
#define MQ_EVIDENCE_WITNESSES_MAX 4U
/* Sightings of a greater age are invalid.  */
#define MQ_EVIDENCE_AGE_MAX_MS 60000U
/* Bound on what a host sends, all receivers together.  */
#define MQ_EVIDENCE_BYTES_PER_S 1900U
#define MQ_EVIDENCE_BURST_BYTES 16384U
/* Size of a frame without sightings, and of a sighting, at most.  */
#define MQ_EVIDENCE_FRAME_BYTES 48U
#define MQ_EVIDENCE_SIGHTING_BYTES 18U

enum mq_evidence_kind
{
  MQ_EVIDENCE_ANSWERS, /* data arrived after the doubt began */
  MQ_EVIDENCE_SILENT,  /* a request waits for longer than usual */
  MQ_EVIDENCE_LOST,    /* such a request has ended without an answer */
  MQ_EVIDENCE_LATE,    /* a request was not answered in its time; others may
                          have been */
  MQ_EVIDENCE_KINDS
};

/**
 * struct mq_evidence_sighting - what a host saw of one worker
 * @worker: mq_fleet_instance_digest
 * @age_ms: since the request was sent, data arrived, or a request was found
 *          late
 */
struct mq_evidence_sighting
{
  uint64_t worker;
  enum mq_evidence_kind kind;
  uint32_t age_ms;
};

/**
 * struct mq_evidence_report - what a host tells in one message
 * @host: names the host, the same in all its runs; not 0
 * @run: names the run; start time by the host's clock
 * @serial: rises from report to report of a run
 * @used: workers that the host uses
 * @doubted: of them those that it doubts
 */
struct mq_evidence_report
{
  uint64_t host;
  uint64_t run;
  uint64_t serial;
  uint32_t used;
  uint32_t doubted;
  const struct mq_evidence_sighting *sightings;
  size_t count;
};

enum mq_evidence_verdict
{
  MQ_EVIDENCE_TAKEN,
  MQ_EVIDENCE_OLD,     /* not newer than the last report */
  MQ_EVIDENCE_CUT_OFF, /* the host doubts most workers */
  MQ_EVIDENCE_INVALID  /* figures out of range, or a report of this host */
};

/**
 * struct mq_evidence_change - a worker became doubted by others, or is trusted
 * @host: host that told the change; 0 if doubt has faded
 * @age_ms: age of what it saw
 */
struct mq_evidence_change
{
  uint64_t worker;
  uint64_t host;
  uint32_t age_ms;
  bool doubted;
};

/* HOST and RUN name this host in its reports.  */
struct mq_evidence *mq_evidence_create (TALLOC_CTX *ctx, uint64_t host,
                                        uint64_t run);
void mq_evidence_destroy (struct mq_evidence *evidence);

/* Bracket a scan of what this host sees; mq_fleet_scan calls those between for
   each worker.  */
void mq_evidence_scan_begin (struct mq_evidence *evidence, uint64_t now_ms);
/* WORKER owes an answer to a request sent at SINCE_MS.  */
void mq_evidence_scan_doubted (struct mq_evidence *evidence, uint64_t worker,
                               enum mq_evidence_kind kind, uint64_t since_ms);
/* Data arrived from WORKER at HEARD_MS; it owes nothing for long.  */
void mq_evidence_scan_heard (struct mq_evidence *evidence, uint64_t worker,
                             uint64_t heard_ms);
/* A request to WORKER was found late at FOUND_MS.  Called after one of the
   above.  */
void mq_evidence_scan_late (struct mq_evidence *evidence, uint64_t worker,
                            uint64_t found_ms);
/* Returns whether there is a REPORT to send to RECEIVERS hosts.  Its sightings
   are valid until the next call.  */
bool mq_evidence_scan_end (struct mq_evidence *evidence, uint32_t receivers,
                           struct mq_evidence_report *report);

/* Takes the report of another host.  WORKERS: number of workers known.  */
enum mq_evidence_verdict
mq_evidence_receive (struct mq_evidence *evidence,
                     const struct mq_evidence_report *report, size_t workers,
                     uint64_t now_ms);
/* Whether any worker may be doubted by others.  */
bool mq_evidence_is_empty (const struct mq_evidence *evidence);
/* Number of other hosts that doubt WORKER, from which this host last heard at
   HEARD_MS, 0 if never; 0 while the doubt of one host alone pauses.  Late
   requests of this host count where another one had some.  */
uint32_t mq_evidence_doubts (const struct mq_evidence *evidence,
                             uint64_t worker, uint64_t heard_ms,
                             uint64_t now_ms);
/* Removes and returns the oldest change that was not returned; false if there
   is none.  Changes in excess are dropped.  */
bool mq_evidence_next_change (struct mq_evidence *evidence,
                              struct mq_evidence_change *change);

#endif
