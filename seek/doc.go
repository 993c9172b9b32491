// Package seek decides which replica of a group to ask while it is not known which
// one leads: whoever has a command or a read for the leader tells what was asked and
// answered, and gets the next address to ask.
//
// The load that it answers: replicas lose power, and neither answer nor refuse a
// connection. Questions that wait for them one after another cost the time of
// several, while a leader is long elected. Here a question that is not answered soon
// holds up no other. It is pure: events and a time in, the next question out.
package seek
