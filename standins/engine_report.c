/* engine_report.c - events and load reports of the engine model.

   Needs: engine_state.h.  */

#include "engine_state.h"
#include <string.h>

/* Events.  */

struct mq_engine_event *
mq_engine_add_event (struct mq_engine *engine, enum mq_engine_event_type type,
                     uint64_t at_us, uint64_t tag)
{
  struct mq_engine_event *event;

  if (engine->event_count == engine->event_room)
    {
      engine->event_room = engine->event_room == 0 ? MQ_ENGINE_INITIAL_CAPACITY
                                                   : 2 * engine->event_room;
      engine->events = mq_engine_check_alloc (talloc_realloc (
          engine, engine->events, struct mq_engine_event, engine->event_room));
    }
  event = &engine->events[engine->event_count++];
  memset (event, 0, sizeof *event);
  event->type = type;
  event->at_us = at_us;
  event->tag = tag;
  return event;
}

bool
mq_engine_next_event (struct mq_engine *engine, struct mq_engine_event *event)
{
  TALLOC_FREE (engine->given_labels);
  if (engine->event_first == engine->event_count)
    {
      engine->event_first = 0;
      engine->event_count = 0;
      return false;
    }
  *event = engine->events[engine->event_first++];
  if (event->labels != NULL)
    engine->given_labels = event->labels;
  return true;
}

/* Cache events.  */

static bool
merge_cache_event (struct mq_engine *engine,
                   const struct mq_engine_cache_event *event)
{
  struct mq_engine_cache_event *last;

  if (engine->cache_event_count == engine->cache_event_first)
    return false;
  last = &engine->cache_events[(engine->cache_event_count - 1)
                               % MQ_ENGINE_CACHE_EVENTS_KEPT];
  if (last->number != engine->cache_event_number || last->type != event->type
      || last->visible_us != event->visible_us
      || !mq_id_equal (last->program, event->program))
    return false;
  last->tokens += event->tokens;
  return true;
}

void
mq_engine_add_cache_event (struct mq_engine *engine,
                           enum mq_engine_cache_event_type type,
                           struct mq_id program, uint32_t tokens)
{
  struct mq_engine_cache_event event = { 0 };

  event.visible_us
      = engine->now_us + mq_engine_scale (engine, engine->params.event_lag_us);
  event.type = type;
  event.program = program;
  event.tokens = tokens;
  if (tokens == 0 || merge_cache_event (engine, &event))
    return;
  event.number = ++engine->cache_event_number;
  engine->counters.cache_events++;
  if (mq_random_below (&engine->random, 1000)
      < engine->params.event_gap_permille)
    {
      engine->counters.cache_events_lost++;
      return;
    }
  engine
      ->cache_events[engine->cache_event_count++ % MQ_ENGINE_CACHE_EVENTS_KEPT]
      = event;
  if (engine->cache_event_count - engine->cache_event_first
      > MQ_ENGINE_CACHE_EVENTS_KEPT)
    engine->cache_event_first++;
}

size_t
mq_engine_cache_events (const struct mq_engine *engine, uint64_t now_us,
                        uint64_t after, struct mq_engine_cache_event *events,
                        size_t max)
{
  size_t count = 0;

  for (uint64_t i = engine->cache_event_first;
       i < engine->cache_event_count && count < max; i++)
    {
      const struct mq_engine_cache_event *event
          = &engine->cache_events[i % MQ_ENGINE_CACHE_EVENTS_KEPT];

      if (event->number > after && event->visible_us <= now_us)
        events[count++] = *event;
    }
  return count;
}

/* Load reports.  */

struct mq_engine_load
mq_engine_load (const struct mq_engine *engine)
{
  struct mq_engine_load load;

  load.running = (uint32_t)engine->running.count;
  load.queued = (uint32_t)engine->waiting.count;
  load.cache_used = mq_kv_used_tokens (engine->kv);
  load.cache_total = mq_kv_total_tokens (engine->kv);
  return load;
}

void
mq_engine_sample_load (struct mq_engine *engine, uint64_t now_us)
{
  uint64_t lag = mq_engine_scale (engine, engine->params.load_lag_us);

  if (lag == 0)
    {
      engine->reported = mq_engine_load (engine);
      return;
    }
  /* The load did not change for at least one lag.  */
  if (engine->now_us + lag <= now_us)
    engine->sampled = mq_engine_load (engine);
  else if (now_us < engine->next_sample_us)
    return;
  engine->reported = engine->sampled;
  engine->sampled = mq_engine_load (engine);
  engine->next_sample_us = now_us + lag;
}
