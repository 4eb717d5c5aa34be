/* settings.h - settings of one process, INI, checked whole.

   One table of keys serves parsing, --help and the documentation check.
   Needs: text_keys.h (tables of keys), gate.h, host.h.  */

#ifndef MQ_SETTINGS_H
#define MQ_SETTINGS_H

#include "core/gate/gate.h"
#include "core/host.h"
#include "core/text/text_keys.h"

/**
 * struct mq_settings - what a process learns from its settings file
 * @host: name of this host
 * @data_centre: where it stands
 * @region: where its data centre stands
 * @http: "IP:PORT" for callers (entryd) or operators (targetd)
 * @peer: "IP:PORT" for the system's own processes
 * @platform: "http://IP:PORT" of the platform
 * @site_key: 32 bytes, written as 64 hexadecimal digits
 * @operator_key_hash: SHA-256 of the key that operators send
 * @policy: name of the placement policy (entryd)
 * @commit_each_step: every step waits for the store, for comparison (entryd)
 * @order: order of the queue (targetd)
 * @workers: [worker NAME] sections (targetd)
 * @worker_urls: "http://IP:PORT" of each worker
 * @worker_count: how many
 * @drain_seconds: a planned stop that takes longer is cut
 * @stream_buffer_kb: KiB that a caller's stream may hold unsent (entryd)
 */
struct mq_settings
{
  const char *host;
  const char *data_centre;
  const char *region;
  const char *http;
  const char *peer;
  const char *platform;
  uint8_t site_key[MQ_KEY_BYTES];
  uint8_t operator_key_hash[MQ_KEY_BYTES];
  const char *policy;
  bool commit_each_step;
  enum mq_gate_order order;
  struct mq_gate_worker *workers;
  const char **worker_urls;
  size_t worker_count;
  uint32_t drain_seconds;
  uint32_t stream_buffer_kb;
};

/* The kinds of [process] are the roles of processes.  */
const struct mq_key_table *mq_settings_keys (void);
/* NULL when there is an error; ERRORS then lists all of them, below CTX.
   Values of keys are never shown in them.  */
struct mq_settings *mq_settings_parse (TALLOC_CTX *ctx, enum mq_host_role role,
                                       const char *source, size_t len,
                                       struct mq_text_errors *errors);
/* A file that can't be read is IO with the errno as number.  */
struct mq_settings *mq_settings_read (TALLOC_CTX *ctx, enum mq_host_role role,
                                      const char *file,
                                      struct mq_text_errors *errors);

#endif
