package main

import (
	"fmt"
	"net/http"
	"time"
)

// Addresses of the case.
const (
	listedReplica = "127.41.22.9"
	listedEast    = "127.41.22.1"
	listedWest    = "127.41.22.3"
)

// listedField sends requests whose client names the field with the caller's service among those of
// its connection. The server must get that field with the service of the client's instance all the
// same, as the system sets it regardless of what was sent.
func listedField(r *record, trouble bool) (breaks []string, err error) {
	f, err := newFleet(r, listedReplica, listedEast, listedWest)
	if err != nil {
		return nil, err
	}
	defer f.end()
	for _, in := range []instance{
		{Name: "core-1", IP: listedReplica, Zone: "a"},
		{Name: "east-1", IP: listedEast, Zone: "a", Service: "east"},
		{Name: "west-1", IP: listedWest, Zone: "a", Service: "west"},
	} {
		in.Seeds, in.FirstStart = address(listedReplica, controlPort), true
		if err := f.start(in); err != nil {
			return nil, err
		}
	}
	if err := f.putDocument(listedReplica, "00000000", firstDocument, 20*time.Second); err != nil {
		return nil, err
	}
	s := &server{record: r, ip: listedEast, service: "east", id: "i-east-1"}
	if err := s.startIncarnation(); err != nil {
		return nil, err
	}
	if err := f.awaitService("/read/first", 20*time.Second, listedEast, listedWest); err != nil {
		return nil, err
	}
	origin := map[string]string{}
	for n := range 20 {
		for ip, service := range map[string]string{listedEast: "east", listedWest: "west"} {
			q := request{ip: ip, method: http.MethodPost, path: "/book/x", id: fmt.Sprintf("%s-%d", service, n), wait: 6 * time.Second, header: http.Header{}}
			q.header[platform.CallerService] = []string{"other"}
			if trouble {
				q.header["Connection"] = []string{"keep-alive, " + platform.CallerService}
			}
			origin[q.id] = service
			status, _ := q.send()
			r.add("request %s at %s with %v is answered %d", q.id, ip, q.header, status)
		}
	}
	for _, run := range s.requests() {
		service, known := origin[run.id]
		if !known {
			continue
		}
		got := run.header[platform.CallerService]
		r.add("server %s ran %s of %s with the field %q", s.id, run.id, service, got)
		if len(got) != 1 || got[0] != service {
			breaks = append(breaks, fmt.Sprintf("UNASKED: request %s of %s ran with the caller's service %q", run.id, service, got))
		}
	}
	return breaks, nil
}
