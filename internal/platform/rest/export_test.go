package rest

// CountingDial is the dial function of clients, for tests that slow it down.
var CountingDial = countingDial
