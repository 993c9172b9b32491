package wal

import (
	"testing"

	"github.com/umberthread/umberthread/internal/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }
