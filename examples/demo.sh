#!/usr/bin/env bash
# Runs a few programs of both deployments on the stand-ins, small, and shows
# answers, a trace, the two measures and a clean stop.
set -eu
cd "$(dirname "$0")/.."
. examples/site.sh
trap site_end EXIT

say() { printf '\n== %s\n' "$*"; }

call() { # HTTP KEY IDEMPOTENCY_KEY BODY
  curl -sS -m 60 "http://$1/v1/programs" -H "Authorization: Bearer $2" \
    -H "Idempotency-Key: $3" -d "$4"
  echo
}

worker() { # SERVICE KIND ADDRESS [MODEL]
  printf '%s,%s,%s,%s' "$1" "$2" "$3" "${4:-}"
}

zarqa() {
  say "Zarqa: two entry hosts, three target hosts, four engines"
  site_begin
  site_apply examples/zarqa.ini
  site_engines drafting 4 drafting-12b --time-scale 0.2
  site_service billing-app 2
  site_service ledger 1
  site_service tariff-table 1
  site_service print-envelope 1
  read -r d1 d2 d3 d4 <<<"$site_urls_drafting"
  read -r b1 b2 <<<"$site_urls_billing_app"
  site_target north-1 north "$(worker drafting-llm model "$d1" drafting-12b)" \
    "$(worker drafting-llm model "$d2" drafting-12b)" "$(worker billing-app plain "$b1")"
  site_target east-1 east "$(worker drafting-llm model "$d3" drafting-12b)" \
    "$(worker drafting-llm model "$d4" drafting-12b)" "$(worker billing-app plain "$b2")"
  site_target south-1 south "$(worker ledger tool $site_urls_ledger)" \
    "$(worker tariff-table tool $site_urls_tariff_table)" \
    "$(worker print-envelope tool $site_urls_print_envelope)"
  site_entry entry-1 north
  site_entry entry-2 south
  site_ready "$site_http_entry_1" "$site_http_entry_2"

  say "An overdue notice: ledger, a notice recorded once, a sub-program on the tariff, the letter"
  letter='{"service":"letters","input":"Overdue notice for household H7. plan=[{\"call\":\"ledger\",\"arguments\":{\"household\":\"H7\"},\"tokens\":12},{\"call\":\"billing-app.record-notice\",\"arguments\":{\"household\":\"H7\"},\"tokens\":9},{\"call\":\"tariff-check\",\"arguments\":{\"input\":\"Tariff of H7. plan=[{\\\"call\\\":\\\"tariff-table\\\",\\\"arguments\\\":{}},{\\\"answer\\\":8}]\"}},{\"answer\":30}]"}'
  answer=$(call "$site_http_entry_1" demo-zarqa-clerks letter-H7 "$letter")
  echo "$answer"
  program=$(sed -n 's/.*"program":"\([0-9a-f]*\)".*/\1/p' <<<"$answer")

  say "The same request again, at the other entry host: the same answer, nothing done twice"
  call "$site_http_entry_2" demo-zarqa-clerks letter-H7 "$letter"
  curl -s "http://$b1/standin/effects?summary=1"; echo
  curl -s "http://$b2/standin/effects?summary=1"; echo

  say "Streamed to a clerk (last events)"
  call "$site_http_entry_2" demo-zarqa-clerks stream-H8 \
    '{"service":"counter-clerk","stream":true,"input":"Where does H8 stand? plan=[{\"call\":\"ledger\",\"arguments\":{}},{\"answer\":12}]"}' | tail -12

  say "The nightly batch: twelve letters side by side"
  for i in $(seq 12); do
    call "$site_http_entry_1" demo-zarqa-nightly "night-$i" \
      "{\"service\":\"nightly-letters\",\"input\":\"Notice $i. plan=[{\\\"call\\\":\\\"billing-app.balance\\\",\\\"arguments\\\":{}},{\\\"call\\\":\\\"print-envelope\\\",\\\"arguments\\\":{}},{\\\"answer\\\":20}]\"}" >"$site_dir/night-$i" &
    batch="${batch:-} $!"
  done
  wait $batch
  grep -l '"status":"ended"' "$site_dir"/night-* | wc -l | sed 's/$/ of 12 ended/'

  say "Where the time of the first letter went"
  "$site_bin/mimosactl" trace "$program"
  say "Status, with the two measures"
  "$site_bin/mimosactl" status
  say "Planned stop"
  site_end
  echo "stopped"
}

diagne() {
  say "Diagne: onboarding with a second turn"
  site_begin
  site_apply examples/diagne.ini
  site_engines guide 3 guide-8b --time-scale 0.2 --check-fence
  site_service accueil-app 2
  site_service room-plan 1
  site_service mentor-calendar 1
  site_service send-invitation 1
  read -r g1 g2 g3 <<<"$site_urls_guide"
  read -r a1 a2 <<<"$site_urls_accueil_app"
  site_target plateau-1 plateau "$(worker guide-models model "$g1" guide-8b)" "$(worker accueil-app plain "$a1")"
  site_target hann-1 hann "$(worker guide-models model "$g2" guide-8b)" "$(worker accueil-app plain "$a2")"
  site_target almadies-1 almadies "$(worker guide-models model "$g3" guide-8b)" \
    "$(worker room-plan tool $site_urls_room_plan)" \
    "$(worker mentor-calendar tool $site_urls_mentor_calendar)" \
    "$(worker send-invitation tool $site_urls_send_invitation)"
  site_entry entry-1 plateau
  site_entry entry-2 hann
  site_ready "$site_http_entry_1" "$site_http_entry_2"

  say "Day one: badge, bank details (submitted once), a mentor"
  answer=$(call "$site_http_entry_1" demo-diagne-hr awa-1 \
    '{"service":"onboarding","keep_open":true,"input":"Start Fatou. plan=[{\"call\":\"accueil-app.order-badge\",\"arguments\":{\"starter\":\"Fatou\"}},{\"call\":\"accueil-app.submit-bank-details\",\"arguments\":{\"starter\":\"Fatou\"}},{\"call\":\"mentor-intro\",\"arguments\":{\"input\":\"Mentor for Fatou. plan=[{\\\"call\\\":\\\"mentor-calendar\\\",\\\"arguments\\\":{}},{\\\"call\\\":\\\"send-invitation\\\",\\\"arguments\\\":{}},{\\\"answer\\\":10}]\"}},{\"answer\":24}]"}')
  echo "$answer"
  program=$(sed -n 's/.*"program":"\([0-9a-f]*\)".*/\1/p' <<<"$answer")

  say "Day two: a follow-up, asked at the other entry host, finds its history"
  curl -sS -m 60 "http://$site_http_entry_2/v1/programs/$program/turns" \
    -H 'Authorization: Bearer demo-diagne-hr' -H 'Idempotency-Key: awa-2' \
    -d '{"input":"What is left for Fatou? plan=[{\"call\":\"accueil-app.checklist\",\"arguments\":{}},{\"answer\":16}]"}'
  echo
  curl -sS -m 60 -X DELETE "http://$site_http_entry_1/v1/programs/$program" -H 'Authorization: Bearer demo-diagne-hr'
  echo
  say "Another organisation's program is not found"
  curl -sS "http://$site_http_entry_1/v1/programs/$program" -H 'Authorization: Bearer demo-diagne-leads'
  echo
  say "Status"
  "$site_bin/mimosactl" status
  say "Planned stop"
  site_end
  echo "stopped"
}

zarqa
diagne
trap - EXIT
